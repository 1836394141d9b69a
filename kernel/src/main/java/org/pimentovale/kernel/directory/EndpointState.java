package org.pimentovale.kernel.directory;

/**
 * What an instance believes of one endpoint.
 *
 * <p>Invariant: the number of running calls is never negative. Not thread safe; guarded by its directory's event loop.
 */
public final class EndpointState {
    private static final long INITIAL_BACKOFF_MS = 400;
    private static final long MAX_BACKOFF_MS = 3_000;
    private static final double LATENCY_RATIO_WEIGHT = 0.4;
    private static final long LOAD_REPORT_VALID_MS = 1_000;

    private EndpointRecord latest;
    private long coldUntilMs;
    private long lapsedSinceMs = -1;
    private long backoffUntilMs;
    private long nextBackoffMs = INITIAL_BACKOFF_MS;
    private int runningCalls;
    private int otherInstancesCalls;
    private long loadReportedAtMs = Long.MIN_VALUE;
    private double latencyRatio = 1;
    private long latencyRatioAtMs;

    EndpointState(EndpointRecord first, long nowMs) {
        this.latest = first;
        this.coldUntilMs = nowMs + (long) Math.ceil(first.remainingColdMs());
    }

    void update(EndpointRecord next, long nowMs) {
        if (next.startedMs() != latest.startedMs()) {
            backoffUntilMs = 0;
            nextBackoffMs = INITIAL_BACKOFF_MS;
            latencyRatio = 1;
        }
        latest = next;
        lapsedSinceMs = -1;
        coldUntilMs = nowMs + (long) Math.ceil(next.remainingColdMs());
    }

    void markLapsed(long nowMs) {
        if (lapsedSinceMs < 0) {
            lapsedSinceMs = nowMs;
        }
    }

    long lapsedSinceMs() {
        return lapsedSinceMs;
    }

    /**
     * Returns what the endpoint said last.
     *
     * @return the record
     */
    public EndpointRecord latest() {
        return latest;
    }

    /**
     * Tells whether the endpoint is still warming up.
     *
     * @param nowMs the time in milliseconds
     * @return whether it is
     */
    public boolean cold(long nowMs) {
        return nowMs < coldUntilMs;
    }

    /**
     * Tells whether recent failures speak against the endpoint.
     *
     * @param nowMs the time in milliseconds
     * @return whether other endpoints are to be preferred
     */
    public boolean inBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    /**
     * Records a failure that speaks against the endpoint; the avoidance doubles with each in a row.
     *
     * @param nowMs the time in milliseconds
     */
    public void recordFailure(long nowMs) {
        backoffUntilMs = nowMs + nextBackoffMs;
        nextBackoffMs = Math.min(MAX_BACKOFF_MS, nextBackoffMs * 2);
    }

    /** Records a whole answer. */
    public void recordSuccess() {
        backoffUntilMs = 0;
        nextBackoffMs = INITIAL_BACKOFF_MS;
    }

    /** Records the start of a call from this instance. */
    public void startCall() {
        runningCalls++;
    }

    /** Records the end of a call from this instance. */
    public void endCall() {
        runningCalls = Math.max(0, runningCalls - 1);
    }

    /**
     * Returns the calls of this instance that run there.
     *
     * @return the number
     */
    public int runningCalls() {
        return runningCalls;
    }

    /**
     * Records the load that the endpoint told with an answer.
     *
     * @param calls calls that run or wait there, from all instances
     * @param nowMs the time in milliseconds
     */
    public void recordLoad(int calls, long nowMs) {
        otherInstancesCalls = Math.max(0, calls - runningCalls);
        loadReportedAtMs = nowMs;
    }

    /**
     * Returns the calls that probably run or wait there, of all instances.
     *
     * @param nowMs the time in milliseconds
     * @return the number
     */
    public int expectedCalls(long nowMs) {
        boolean reportValid = loadReportedAtMs != Long.MIN_VALUE && nowMs - loadReportedAtMs < LOAD_REPORT_VALID_MS;
        return runningCalls + (reportValid ? otherInstancesCalls : 0);
    }

    /**
     * Records how long a call took.
     *
     * @param ratio measured time by expected time
     * @param nowMs the time in milliseconds
     */
    public void recordLatencyRatio(double ratio, long nowMs) {
        latencyRatio += LATENCY_RATIO_WEIGHT * (ratio - latencyRatio);
        latencyRatioAtMs = nowMs;
    }

    /**
     * Returns how slow the endpoint has been.
     *
     * @return measured time by expected time, a moving mean
     */
    public double latencyRatio() {
        return latencyRatio;
    }

    /**
     * Returns when the slowness was last measured.
     *
     * @return milliseconds
     */
    public long latencyRatioAtMs() {
        return latencyRatioAtMs;
    }
}
