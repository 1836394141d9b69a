package org.pimentovale.kernel.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Divides the permitted request rate of a cold endpoint among the instances, without communication between them.
 *
 * <p>Rendezvous hashing assigns a cold endpoint to a few owner instances; each of them may send it an equal part of the
 * rate. Since the instances' lists of instances lag and differ, two sets of owners may be active for a short time; the
 * endpoint's tolerance covers this. Invariant: an owner sends at most one request in each of its intervals. Not thread
 * safe.
 */
public final class ColdEndpointRateLimiter {
    private static final int MAX_OWNERS = 4;
    private static final long MS_PER_SECOND = 1_000;

    private final String self;
    private final Map<String, Long> nextSendMs = new HashMap<>();

    /**
     * Creates the rate limiter of an instance.
     *
     * @param self name of this instance
     */
    public ColdEndpointRateLimiter(String self) {
        this.self = self;
    }

    /**
     * Tells whether this instance may send a request to a cold endpoint now.
     *
     * @param endpoint the endpoint's identifier
     * @param requestsPerSecond request rate permitted while the endpoint is cold, over all instances
     * @param instances names of all instances, including this one
     * @param nowMs the current time in milliseconds
     * @return true if this instance is an owner and its interval has passed; false for a rate of zero
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
     * Records that a request was sent to a cold endpoint, which starts this instance's next interval.
     *
     * @param endpoint the endpoint's identifier
     * @param requestsPerSecond request rate permitted while the endpoint is cold, over all instances
     * @param nowMs the current time in milliseconds
     */
    public void recordSend(String endpoint, double requestsPerSecond, long nowMs) {
        nextSendMs.put(
                endpoint, nowMs + (long) Math.ceil(ownerCount(requestsPerSecond) * MS_PER_SECOND / requestsPerSecond));
    }

    private static int ownerCount(double requestsPerSecond) {
        return (int) Math.max(1, Math.min(MAX_OWNERS, Math.floor(requestsPerSecond)));
    }
}
