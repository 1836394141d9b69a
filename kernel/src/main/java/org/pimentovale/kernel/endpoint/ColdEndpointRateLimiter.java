package org.pimentovale.kernel.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Divides what a cold endpoint bears among the instances, by arithmetic alone.
 *
 * <p>A cold endpoint belongs to a few instances by rendezvous; each of them may send it an equal part of its rate.
 * Since lists of instances lag and differ, two sets of owners may be at work for a moment; the endpoint's tolerance
 * covers that. Invariant: an instance that owns a part sends at most one request in its interval. Not thread safe.
 */
public final class ColdEndpointRateLimiter {
    private static final int MAX_OWNERS = 4;
    private static final long MS_PER_SECOND = 1_000;

    private final String self;
    private final Map<String, Long> nextSendMs = new HashMap<>();

    /**
     * Creates the shares of an instance.
     *
     * @param self the instance's name
     */
    public ColdEndpointRateLimiter(String self) {
        this.self = self;
    }

    /**
     * Tells whether this instance may send a request to a cold endpoint now.
     *
     * @param endpoint the endpoint's identifier
     * @param requestsPerSecond what the endpoint bears while cold
     * @param instances the names of all instances, this one included
     * @param nowMs the time in milliseconds
     * @return whether it may
     */
    public boolean maySend(String endpoint, double requestsPerSecond, List<String> instances, long nowMs) {
        if (requestsPerSecond <= 0 || nowMs < nextSendMs.getOrDefault(endpoint, Long.MIN_VALUE)) {
            return false;
        }
        long ownWeight = RendezvousHash.weight(endpoint, self);
        long higherRankedCount = instances.stream()
                .filter(name -> RendezvousHash.weight(endpoint, name) > ownWeight)
                .count();
        return higherRankedCount < ownerCount(requestsPerSecond);
    }

    /**
     * Records a request to a cold endpoint.
     *
     * @param endpoint the endpoint's identifier
     * @param requestsPerSecond what the endpoint bears while cold
     * @param nowMs the time in milliseconds
     */
    public void recordSend(String endpoint, double requestsPerSecond, long nowMs) {
        nextSendMs.put(endpoint, nowMs + (long) Math.ceil(ownerCount(requestsPerSecond) * MS_PER_SECOND / requestsPerSecond));
    }

    private static int ownerCount(double requestsPerSecond) {
        return (int) Math.max(1, Math.min(MAX_OWNERS, Math.floor(requestsPerSecond)));
    }
}
