package org.pimentovale.kernel.directory;

/**
 * What one incarnation of an endpoint said about itself in its responses: that it is leaving, or that it takes no
 * requests for some time.
 *
 * <p>Invariants: an endpoint that is leaving never serves again in the same incarnation; the time without requests
 * never becomes shorter. Not thread safe; guarded by the event loop of its directory.
 */
final class EndpointNotices {
    private static final long SLOW_START_MS = 1_000;
    private static final long SLOW_START_STEP_MS = 50;

    private final String address;
    private final long startedMs;
    private boolean leaving;
    private long throttledUntilMs = Long.MIN_VALUE;
    private long recordedAtMs;

    EndpointNotices(EndpointRecord incarnation) {
        this.address = incarnation.address();
        this.startedMs = incarnation.startedMs();
    }

    /** Tells whether an entry describes this incarnation or an earlier one of the endpoint. */
    boolean appliesTo(EndpointRecord entry) {
        return entry.startedMs() < startedMs
                || (entry.startedMs() == startedMs && entry.address().equals(address));
    }

    /** Tells whether an entry describes an earlier incarnation of the endpoint than this one. */
    boolean isLaterThan(EndpointRecord entry) {
        return startedMs > entry.startedMs();
    }

    /** Records that the endpoint is leaving. Returns whether that was not known before. */
    boolean recordLeaving(long nowMs) {
        recordedAtMs = nowMs;
        boolean first = !leaving;
        leaving = true;
        return first;
    }

    boolean leaving() {
        return leaving;
    }

    /** Records that the endpoint takes no requests for a time. Returns whether that prolongs the time known before. */
    boolean recordThrottled(long delayMs, long nowMs) {
        recordedAtMs = nowMs;
        boolean prolonged = nowMs + delayMs > throttledUntilMs;
        throttledUntilMs = Math.max(throttledUntilMs, nowMs + delayMs);
        return prolonged;
    }

    /** Returns the time for which the endpoint takes no requests, in milliseconds, zero if it takes some. */
    long throttledMs(long nowMs) {
        return throttledUntilMs > nowMs ? throttledUntilMs - nowMs : 0;
    }

    /**
     * Tells whether the endpoint may get another request after the time for which it took none. The concurrent requests
     * rise step by step, so that the traffic of all instances does not return at the same moment.
     */
    boolean allowsInSlowStart(int runningCalls, long nowMs) {
        return !inSlowStart(nowMs) || runningCalls <= (nowMs - throttledUntilMs) / SLOW_START_STEP_MS;
    }

    /** Tells whether the endpoint takes no requests, or took none until a short time ago. */
    boolean inSlowStart(long nowMs) {
        return throttledUntilMs != Long.MIN_VALUE && nowMs - throttledUntilMs < SLOW_START_MS;
    }

    /** Returns the time until another request may be sent, at least one step of the slow start, in milliseconds. */
    long returnMs(long nowMs) {
        return Math.max(throttledMs(nowMs), SLOW_START_STEP_MS);
    }

    /** Returns the time of the latest notice, in milliseconds. */
    long recordedAtMs() {
        return recordedAtMs;
    }
}
