package org.pimentovale.kernel.directory;

import java.util.List;
import org.pimentovale.kernel.endpoint.ColdEndpointRateLimiter;

/**
 * Decides whether an endpoint may get a request now.
 *
 * <p>An instance asks here before each send of a request: first sends, retries and resumed streams. Calls for pieces
 * have no cold limit and ask {@link EndpointDirectory#availability}, on which this decision is based. Invariant: an
 * endpoint that is leaving, or whose delay has not passed, is never available. Not thread safe; used on one event loop.
 */
public final class EndpointAdmission {
    private final EndpointDirectory directory;
    private final ColdEndpointRateLimiter coldLimiter;

    /**
     * Creates the decision.
     *
     * @param directory the listed endpoints with their notices
     * @param coldLimiter the limiter of requests to cold endpoints
     */
    public EndpointAdmission(EndpointDirectory directory, ColdEndpointRateLimiter coldLimiter) {
        this.directory = directory;
        this.coldLimiter = coldLimiter;
    }

    /**
     * Decides on one endpoint.
     *
     * @param endpoint the endpoint
     * @param coldRequestsPerSecond the rate that a cold endpoint tolerates over all instances, zero for no limit
     * @param instances the names of all instances, including this one
     * @param nowMs the current time in milliseconds
     * @return whether it may get a request, or the first reason against it
     */
    public Availability check(
            EndpointState endpoint, double coldRequestsPerSecond, List<String> instances, long nowMs) {
        Availability availability = directory.availability(endpoint, nowMs);
        if (availability != Availability.AVAILABLE || !endpoint.cold(nowMs) || coldRequestsPerSecond <= 0) {
            return availability;
        }
        boolean allowed = coldLimiter.maySend(endpoint.latest().identifier(), coldRequestsPerSecond, instances, nowMs);
        return allowed ? Availability.AVAILABLE : Availability.COLD_LIMITED;
    }
}
