package org.pimentovale.kernel.shutdown;

import java.util.OptionalLong;

/**
 * Decides which requests an instance that shuts down may still start.
 *
 * <p>A request starts only if it is expected to end before the instance does: its response would be cut otherwise,
 * while another instance can still serve it. The expected duration is twice what few of the latest requests of its
 * route exceed, and at least the longest of them; a route without enough of them is expected to use the whole time
 * until the request's deadline. Invariant: once the shutdown has begun, the end of the instance is never moved back.
 * Not thread safe.
 */
public final class ShutdownAdmission {
    private static final double SAFETY_FACTOR = 2; // an endpoint can slow down while it answers
    private static final long RESPONSE_MARGIN_MS = 100;
    private static final long RETRY_ELSEWHERE_MS = 50;
    private static final long RESTART_MS = 2_000;

    private final RecentDurations requests = new RecentDurations();
    private final RecentDurations responses = new RecentDurations();
    private OptionalLong endMs = OptionalLong.empty();

    /**
     * Records how long a request lasted from its arrival to the end of its response.
     *
     * @param route the name of the route
     * @param durationMs the duration in milliseconds
     */
    public void recordRequest(String route, long durationMs) {
        requests.record(route, durationMs);
    }

    /**
     * Records how long a request lasted from its dispatch to the final endpoint to the end of its response.
     *
     * @param route the name of the route
     * @param durationMs the duration in milliseconds
     */
    public void recordResponse(String route, long durationMs) {
        responses.record(route, durationMs);
    }

    /**
     * Begins the shutdown, or brings its end forward.
     *
     * @param newEndMs the time when the instance ends, in milliseconds
     */
    public void endAt(long newEndMs) {
        endMs = OptionalLong.of(Math.min(newEndMs, endMs.orElse(Long.MAX_VALUE)));
    }

    /**
     * Tells whether the instance shuts down.
     *
     * @return whether {@link #endAt} was called
     */
    public boolean begun() {
        return endMs.isPresent();
    }

    /**
     * Returns the time until the instance ends.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, not negative; very large if the instance does not shut down
     */
    public long remainingMs(long nowMs) {
        return endMs.isPresent() ? Math.max(0, endMs.getAsLong() - nowMs) : Long.MAX_VALUE;
    }

    /**
     * Decides whether a request that has arrived may start.
     *
     * @param route the name of its route
     * @param deadlineMs the time when the request ends in any case, in milliseconds
     * @param nowMs the current time in milliseconds
     * @return the decision
     */
    public StartDecision decideRequest(String route, long deadlineMs, long nowMs) {
        return decide(requests, route, 0, deadlineMs, nowMs);
    }

    /**
     * Decides whether a request may be sent to its final endpoint, now or after the rest of its stages.
     *
     * @param route the name of its route
     * @param stagesMs the estimated time of the stages that have not started, in milliseconds; zero if there are none
     * @param deadlineMs the time when the request ends in any case, in milliseconds
     * @param nowMs the current time in milliseconds
     * @return the decision
     */
    public StartDecision decideResponse(String route, long stagesMs, long deadlineMs, long nowMs) {
        return decide(responses, route, stagesMs, deadlineMs, nowMs);
    }

    private StartDecision decide(
            RecentDurations durations, String route, long precedingMs, long deadlineMs, long nowMs) {
        long untilDeadlineMs = Math.max(0, deadlineMs - nowMs);
        OptionalLong highMs = durations.highMs(route);
        long expectedMs = untilDeadlineMs;
        if (highMs.isPresent()) {
            long ownMs = Math.max(Math.round(SAFETY_FACTOR * highMs.getAsLong()), durations.longestMs(route));
            expectedMs = Math.min(untilDeadlineMs, precedingMs + ownMs);
        }
        long leftMs = remainingMs(nowMs);
        boolean allowed = !begun() || expectedMs + RESPONSE_MARGIN_MS <= leftMs;
        return new StartDecision(allowed, highMs.isPresent(), expectedMs, leftMs);
    }

    /**
     * Returns when a caller should send a refused request again.
     *
     * @param othersResponsive whether another instance is responsive, which can serve the request at once
     * @param nowMs the current time in milliseconds
     * @return milliseconds; without another instance, the time until this one has probably started again
     */
    public long retryAfterMs(boolean othersResponsive, long nowMs) {
        return othersResponsive || !begun() ? RETRY_ELSEWHERE_MS : remainingMs(nowMs) + RESTART_MS;
    }
}
