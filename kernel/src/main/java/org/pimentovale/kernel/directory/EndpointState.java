package org.pimentovale.kernel.directory;

/**
 * What an instance believes of one endpoint.
 *
 * <p>Invariant: the number of running calls is never negative. Not thread safe; guarded by its directory's event loop.
 */
public final class EndpointState {
    private static final long FIRST_AVOIDANCE_MS = 400;
    private static final long LONGEST_AVOIDANCE_MS = 3_000;
    private static final double SLOWNESS_WEIGHT = 0.4;
    private static final long REPORT_VALID_MS = 1_000;

    private EndpointRecord latest;
    private long coldUntilMs;
    private long lapsedSinceMs = -1;
    private long avoidedUntilMs;
    private long avoidanceMs = FIRST_AVOIDANCE_MS;
    private int runningCalls;
    private int othersCalls;
    private long othersCallsAtMs = Long.MIN_VALUE;
    private double slowness = 1;
    private long slownessAtMs;

    EndpointState(EndpointRecord first, long nowMs) {
        this.latest = first;
        this.coldUntilMs = nowMs + (long) Math.ceil(first.coldMs());
    }

    void update(EndpointRecord next, long nowMs) {
        if (next.bornMs() != latest.bornMs()) {
            avoidedUntilMs = 0;
            avoidanceMs = FIRST_AVOIDANCE_MS;
            slowness = 1;
        }
        latest = next;
        lapsedSinceMs = -1;
        coldUntilMs = nowMs + (long) Math.ceil(next.coldMs());
    }

    void lapse(long nowMs) {
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
    public boolean avoided(long nowMs) {
        return nowMs < avoidedUntilMs;
    }

    /**
     * Records a failure that speaks against the endpoint; the avoidance doubles with each in a row.
     *
     * @param nowMs the time in milliseconds
     */
    public void recordFailure(long nowMs) {
        avoidedUntilMs = nowMs + avoidanceMs;
        avoidanceMs = Math.min(LONGEST_AVOIDANCE_MS, avoidanceMs * 2);
    }

    /** Records a whole answer. */
    public void recordSuccess() {
        avoidedUntilMs = 0;
        avoidanceMs = FIRST_AVOIDANCE_MS;
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
        othersCalls = Math.max(0, calls - runningCalls);
        othersCallsAtMs = nowMs;
    }

    /**
     * Returns the calls that probably run or wait there, of all instances.
     *
     * @param nowMs the time in milliseconds
     * @return the number
     */
    public int expectedCalls(long nowMs) {
        boolean valid = othersCallsAtMs != Long.MIN_VALUE && nowMs - othersCallsAtMs < REPORT_VALID_MS;
        return runningCalls + (valid ? othersCalls : 0);
    }

    /**
     * Records how long a call took.
     *
     * @param ratio measured time by expected time
     * @param nowMs the time in milliseconds
     */
    public void recordSlowness(double ratio, long nowMs) {
        slowness += SLOWNESS_WEIGHT * (ratio - slowness);
        slownessAtMs = nowMs;
    }

    /**
     * Returns how slow the endpoint has been.
     *
     * @return measured time by expected time, a moving mean
     */
    public double slowness() {
        return slowness;
    }

    /**
     * Returns when the slowness was last measured.
     *
     * @return milliseconds
     */
    public long slownessAtMs() {
        return slownessAtMs;
    }
}
