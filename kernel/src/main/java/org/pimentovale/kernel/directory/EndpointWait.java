package org.pimentovale.kernel.directory;

import java.util.OptionalLong;

/**
 * Decides whether a request waits while no endpoint of its service may get it, or is refused.
 *
 * <p>It answers a burst under which all endpoints of a service refuse requests and name a delay. A caller that is
 * refused comes back with its last retry and may arrive before the endpoints return, so a request waits if it can still
 * be served after the shortest delay, and is refused at once if it cannot. Without a known return it waits for a part
 * of its latency goal, in which an endpoint may be listed or become free.
 *
 * @param waits whether the request waits; otherwise it is refused
 * @param delayMs the time until the next decision, or after which a refused caller should come back, in milliseconds
 */
public record EndpointWait(boolean waits, long delayMs) {
    private static final int GOAL_DIVISOR = 8;
    private static final long RECHECK_INTERVAL_MS = 25;
    private static final long MAX_RECHECK_INTERVAL_MS = 100;
    private static final long DEFAULT_RETRY_AFTER_MS = 300;

    /**
     * Decides.
     *
     * @param returnMs the time until the first endpoint takes requests again, in milliseconds; empty if unknown
     * @param withheldMs the time until a request may be sent within a rate limit, in milliseconds; zero if unknown
     * @param waitedMs how long the request has waited, in milliseconds
     * @param goalMs the latency goal of the request, in milliseconds
     * @param remainingMs the time until the deadline of the request, in milliseconds
     * @param expectedMs the expected duration of the response, in milliseconds
     * @return the decision
     */
    public static EndpointWait decide(
            OptionalLong returnMs, long withheldMs, long waitedMs, long goalMs, long remainingMs, double expectedMs) {
        if (returnMs.isPresent()) {
            long delayMs = returnMs.getAsLong();
            return delayMs + expectedMs <= remainingMs
                    ? new EndpointWait(true, Math.max(1, Math.min(delayMs, MAX_RECHECK_INTERVAL_MS)))
                    : new EndpointWait(false, delayMs);
        }
        return waitedMs < goalMs / GOAL_DIVISOR
                ? new EndpointWait(true, RECHECK_INTERVAL_MS)
                : new EndpointWait(false, Math.max(DEFAULT_RETRY_AFTER_MS, withheldMs));
    }

    /**
     * Returns when a caller that is refused should come back, also if it is refused for another reason.
     *
     * @return milliseconds
     */
    public long retryAfterMs() {
        return waits ? DEFAULT_RETRY_AFTER_MS : delayMs;
    }
}
