package org.pimentovale.kernel.directory;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.pimentovale.kernel.limit.NamedLimit;

/**
 * The state of one endpoint as observed by this instance: load, failures, latency and warm-up.
 *
 * <p>Invariant: the number of running calls is never negative. Not thread safe; guarded by its directory's event loop.
 */
public final class EndpointState {
    private static final long INITIAL_BACKOFF_MS = 400;
    private static final long MAX_BACKOFF_MS = 3_000;
    private static final double LATENCY_RATIO_WEIGHT = 0.4;

    private EndpointRecord latest;
    private long coldUntilMs;
    private long expiredSinceMs = -1;
    private long backoffUntilMs;
    private long nextBackoffMs = INITIAL_BACKOFF_MS;
    private final EndpointLoad load = new EndpointLoad();
    private double latencyRatio = 1;
    private long latencyRatioAtMs;
    private Optional<NamedLimit> requestLimit = Optional.empty();
    private long withheldUntilMs;

    EndpointState(EndpointRecord first, long nowMs) {
        this.latest = first;
        this.coldUntilMs = nowMs + (long) Math.ceil(first.remainingColdMs());
    }

    void update(EndpointRecord next, long nowMs) {
        if (next.startedMs() != latest.startedMs()) {
            backoffUntilMs = 0;
            nextBackoffMs = INITIAL_BACKOFF_MS;
            latencyRatio = 1;
            requestLimit = Optional.empty();
            withheldUntilMs = 0;
            load.restart();
        }
        latest = next;
        expiredSinceMs = -1;
        coldUntilMs = nowMs + (long) Math.ceil(next.remainingColdMs());
    }

    void markExpired(long nowMs) {
        if (expiredSinceMs < 0) {
            expiredSinceMs = nowMs;
        }
    }

    long expiredSinceMs() {
        return expiredSinceMs;
    }

    /**
     * Returns the latest entry of the endpoint.
     *
     * @return the entry, which may have expired since
     */
    public EndpointRecord latest() {
        return latest;
    }

    /**
     * Tells whether the endpoint is still warming up.
     *
     * @param nowMs the current time in milliseconds
     * @return true until its warm-up time has passed
     */
    public boolean cold(long nowMs) {
        return nowMs < coldUntilMs;
    }

    /**
     * Tells whether the endpoint is in backoff after recent failures.
     *
     * @param nowMs the current time in milliseconds
     * @return true if other endpoints should be preferred
     */
    public boolean inBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    /**
     * Records a failure of the endpoint. The backoff doubles with each consecutive failure, up to a maximum.
     *
     * @param nowMs the current time in milliseconds
     */
    public void recordFailure(long nowMs) {
        backoffUntilMs = nowMs + nextBackoffMs;
        nextBackoffMs = Math.min(MAX_BACKOFF_MS, nextBackoffMs * 2);
    }

    /** Records a complete response and ends the backoff. */
    public void recordSuccess() {
        backoffUntilMs = 0;
        nextBackoffMs = INITIAL_BACKOFF_MS;
    }

    /** Records the start of a call from this instance that states no tokens. */
    public void startCall() {
        startCall(0);
    }

    /**
     * Records the start of a call from this instance.
     *
     * @param tokens the tokens that it may occupy in the endpoint's memory
     */
    public void startCall(long tokens) {
        load.startCall(tokens);
    }

    /** Records the end of a call from this instance that stated no tokens. */
    public void endCall() {
        endCall(0);
    }

    /**
     * Records the end of a call from this instance.
     *
     * @param tokens the tokens that were stated at its start
     */
    public void endCall(long tokens) {
        load.endCall(tokens);
    }

    /**
     * Returns the tokens of the running calls from this instance.
     *
     * @return the sum, never negative
     */
    public long runningTokens() {
        return load.runningTokens();
    }

    /**
     * Returns the number of running calls from this instance.
     *
     * @return the number, never negative
     */
    public int runningCalls() {
        return load.runningCalls();
    }

    /**
     * Records the load that the endpoint reported with a response.
     *
     * @param report the load, from all instances
     * @param nowMs the current time in milliseconds
     */
    public void recordLoad(LoadReport report, long nowMs) {
        load.record(report, nowMs);
    }

    /**
     * Records a number of calls that the endpoint reported.
     *
     * @param calls the number of running or waiting calls at the endpoint, from all instances
     * @param nowMs the current time in milliseconds
     */
    public void recordLoad(int calls, long nowMs) {
        recordLoad(new LoadReport(calls, 0, OptionalInt.empty(), OptionalDouble.empty()), nowMs);
    }

    /**
     * Returns the load of the endpoint, as this instance knows it.
     *
     * @return the load, updated in place
     */
    public EndpointLoad load() {
        return load;
    }

    /**
     * Returns the number of calls that the endpoint runs concurrently.
     *
     * @return the number of the latest report, otherwise that of the entry; at least one
     */
    public int slots() {
        return Math.max(
                1,
                load.report().map(LoadReport::slots).orElse(OptionalInt.empty()).orElse(latest.slots()));
    }

    /**
     * Estimates the number of running or waiting calls at the endpoint, from all instances.
     *
     * @param nowMs the current time in milliseconds
     * @return the calls of this instance, plus those of the others if the last load report is recent
     */
    public int expectedCalls(long nowMs) {
        return load.expectedCalls(nowMs);
    }

    /**
     * Records the rate limit that the endpoint named with its latest response.
     *
     * @param requestsPerSecond the limit over all instances, empty if it named none
     * @param nowMs the current time in milliseconds
     * @return whether the limit changed
     */
    public boolean recordRequestLimit(OptionalDouble requestsPerSecond, long nowMs) {
        Optional<NamedLimit> before = requestLimit;
        requestLimit = requestsPerSecond.isPresent()
                ? Optional.of(new NamedLimit(requestsPerSecond.getAsDouble(), nowMs))
                : Optional.empty();
        if (requestLimit.isEmpty()) {
            withheldUntilMs = 0;
        }
        return !before.map(NamedLimit::requestsPerSecond).equals(requestLimit.map(NamedLimit::requestsPerSecond));
    }

    /**
     * Returns the rate limit that the endpoint named with its latest response.
     *
     * @return the limit over all instances, empty if it has named none since its start
     */
    public Optional<NamedLimit> requestLimit() {
        return requestLimit;
    }

    /**
     * Keeps requests off the endpoint, because no permit is granted within its rate limit.
     *
     * @param untilMs the time until which no request is sent, in milliseconds
     */
    public void withholdUntil(long untilMs) {
        withheldUntilMs = untilMs;
    }

    /**
     * Returns how long no permit is expected within the endpoint's rate limit.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero if a permit may be asked for
     */
    public long withheldMs(long nowMs) {
        return Math.max(0, withheldUntilMs - nowMs);
    }

    /**
     * Records the latency of a call.
     *
     * @param ratio the measured duration divided by the expected duration
     * @param nowMs the current time in milliseconds
     */
    public void recordLatencyRatio(double ratio, long nowMs) {
        latencyRatio += LATENCY_RATIO_WEIGHT * (ratio - latencyRatio);
        latencyRatioAtMs = nowMs;
    }

    /**
     * Returns the moving average of the latency ratio, measured by expected duration.
     *
     * @return the ratio, above 1 if the endpoint is slower than expected
     */
    public double latencyRatio() {
        return latencyRatio;
    }

    /**
     * Returns the time of the last latency measurement.
     *
     * @return the time in milliseconds, zero if there is none
     */
    public long latencyRatioAtMs() {
        return latencyRatioAtMs;
    }
}
