package org.pimentovale.kernel.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The warmth of each endpoint and the warm-up leases held by this instance.
 *
 * <p>Invariants: an endpoint is warm only in an incarnation that some instance reported as warm; a cold endpoint gets
 * work only under a lease held by this instance, and never more than the cold limit minus the in-flight requests of
 * other instances, taken from a load report requested after the lease was acquired. Thread safe; no other lock
 * is acquired while its lock is held.
 */
public final class WarmthTable {
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, String> warmIncarnations = new HashMap<>();

    private static final class Entry {
        private WarmupRule rule;
        private String incarnation = "";
        private boolean verified;
        private boolean reportedCold;
        private long incarnationSeenMs;
        private int completedRequests;
        private boolean leased;
        private long leaseAcquiredMs;
        private long leaseValidUntilMs;
        private boolean othersInFlightKnown;
        private int othersInFlight;
    }

    /**
     * Sets the configured endpoints and discards the state of all others, except which incarnations were reported as
     * warm.
     *
     * @param rules the warm-up rule of each endpoint, by address
     */
    public synchronized void retain(Map<String, WarmupRule> rules) {
        entries.keySet().retainAll(rules.keySet());
        rules.forEach((address, rule) -> entries.computeIfAbsent(address, unused -> new Entry()).rule = rule);
    }

    /**
     * Records the response to a probe or handshake. An unknown address is ignored.
     *
     * @param address the endpoint's host and port
     * @param report the load report in the response
     * @param requestedMs when the probe was sent
     * @param ownSent number of this instance's requests in flight that were sent before the probe; a request sent later
     *     may not have reached the endpoint when it made its report
     * @param nowMs the current time
     */
    public synchronized void observe(String address, LoadReport report, long requestedMs, int ownSent, long nowMs) {
        Entry entry = entries.get(address);
        if (entry == null) {
            return;
        }
        if (!entry.incarnation.equals(report.incarnation())
                || (report.incarnation().isEmpty() && !entry.verified)) {
            startIncarnation(entry, report.incarnation(), nowMs);
        }
        entry.verified = true;
        boolean turnedCold = report.cold().orElse(false) && !entry.reportedCold;
        entry.reportedCold = report.cold().orElse(false);
        if (turnedCold && report.incarnation().equals(warmIncarnations.get(address))) {
            warmIncarnations.remove(address);
            startIncarnation(entry, report.incarnation(), nowMs);
            entry.verified = true;
        }
        if (entry.leased && requestedMs >= entry.leaseAcquiredMs) {
            entry.othersInFlightKnown = true;
            entry.othersInFlight = Math.max(0, report.inFlight() - ownSent);
        }
    }

    private static void startIncarnation(Entry entry, String incarnation, long nowMs) {
        entry.incarnation = incarnation;
        entry.incarnationSeenMs = nowMs;
        entry.completedRequests = 0;
        entry.leased = false;
        entry.othersInFlightKnown = false;
    }

    /**
     * Records that connections to the endpoint were lost or refused. Since it may have restarted, it is unverified
     * until the next successful probe.
     *
     * @param address the endpoint's host and port
     */
    public synchronized void recordConnectionLoss(String address) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.verified = false;
        }
    }

    /**
     * Records that an incarnation is warm, as found here or reported by another instance.
     *
     * @param warmEndpoint the endpoint and its warm incarnation
     */
    public synchronized void recordWarm(EndpointIncarnation warmEndpoint) {
        warmIncarnations.put(warmEndpoint.address(), warmEndpoint.incarnation());
    }

    /**
     * Returns the warmth of an endpoint.
     *
     * @param address the endpoint's host and port
     * @return its warmth, {@link Warmth#UNVERIFIED} for an unknown endpoint
     */
    public synchronized Warmth warmth(String address) {
        Entry entry = entries.get(address);
        return entry == null || !entry.verified ? Warmth.UNVERIFIED : verifiedWarmth(address, entry);
    }

    private Warmth verifiedWarmth(String address, Entry entry) {
        if (entry.reportedCold || !entry.incarnation.equals(warmIncarnations.get(address))) {
            return Warmth.COLD;
        }
        return Warmth.WARM;
    }

    /**
     * Tells whether an incarnation was reported as warm. This differs from not being cold: an unverified endpoint is
     * neither.
     *
     * @param endpoint the endpoint and the incarnation
     * @return whether that incarnation was reported as warm
     */
    public synchronized boolean isReportedWarm(EndpointIncarnation endpoint) {
        return endpoint.incarnation().equals(warmIncarnations.get(endpoint.address()));
    }

    /**
     * Returns the incarnation observed last.
     *
     * @param address the endpoint's host and port
     * @return the incarnation, or empty before the first probe or if the endpoint reports none
     */
    public synchronized Optional<String> incarnation(String address) {
        return Optional.ofNullable(entries.get(address))
                .map(entry -> entry.incarnation)
                .filter(incarnation -> !incarnation.isEmpty());
    }

    /**
     * Returns the verified cold endpoints, which need a warm-up lease.
     *
     * @return the endpoints with their incarnations
     */
    public synchronized List<EndpointIncarnation> coldEndpoints() {
        List<EndpointIncarnation> cold = new ArrayList<>();
        entries.forEach((address, entry) -> {
            if (entry.verified && verifiedWarmth(address, entry) == Warmth.COLD) {
                cold.add(new EndpointIncarnation(address, entry.incarnation));
            }
        });
        return cold;
    }

    /**
     * Returns the endpoints without a successful probe since the last lost connection.
     *
     * @return their addresses
     */
    public synchronized Set<String> unverified() {
        Set<String> unverified = new HashSet<>();
        entries.forEach((address, entry) -> {
            if (!entry.verified) {
                unverified.add(address);
            }
        });
        return unverified;
    }

    /**
     * Records that this instance has acquired or renewed the warm-up lease of an endpoint. Ignored if the endpoint now
     * runs another incarnation.
     *
     * @param endpoint the endpoint and the incarnation for which the lease was acquired
     * @param renewal whether the lease was held without interruption before
     * @param validUntilMs expiry of the lease on this instance's clock
     * @param nowMs the current time
     */
    public synchronized void recordLease(EndpointIncarnation endpoint, boolean renewal, long validUntilMs, long nowMs) {
        Entry entry = entries.get(endpoint.address());
        if (entry == null || !entry.incarnation.equals(endpoint.incarnation())) {
            return;
        }
        if (!renewal || !entry.leased) {
            entry.leaseAcquiredMs = nowMs;
            entry.othersInFlightKnown = false;
        }
        entry.leased = true;
        entry.leaseValidUntilMs = validUntilMs;
    }

    /**
     * Records that this instance no longer holds the warm-up lease of an endpoint.
     *
     * @param address the endpoint's host and port
     */
    public synchronized void recordLeaseEnd(String address) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.leased = false;
        }
    }

    /**
     * Returns how many requests of this instance a cold endpoint may run concurrently now.
     *
     * @param address the endpoint's host and port
     * @param nowMs the current time
     * @return the permitted number; zero without a valid lease, or until a probe sent after its acquisition succeeds
     */
    public synchronized int coldPermits(String address, long nowMs) {
        Entry entry = entries.get(address);
        if (entry == null || !entry.verified || !entry.leased || nowMs >= entry.leaseValidUntilMs) {
            return 0;
        }
        return entry.othersInFlightKnown ? Math.max(0, entry.rule.coldLimit() - entry.othersInFlight) : 0;
    }

    /**
     * Records that a cold endpoint has responded to a request. Responses of an earlier incarnation, which may be read
     * after a restart, are ignored, since they do not show that the current incarnation is warming up.
     *
     * @param endpoint the endpoint and the incarnation that responded
     * @param nowMs the current time
     * @return the endpoint and its incarnation if this response made it warm, otherwise empty
     */
    public synchronized Optional<EndpointIncarnation> recordResponse(EndpointIncarnation endpoint, long nowMs) {
        String address = endpoint.address();
        Entry entry = entries.get(address);
        if (entry == null
                || !entry.verified
                || !entry.incarnation.equals(endpoint.incarnation())
                || verifiedWarmth(address, entry) == Warmth.WARM) {
            return Optional.empty();
        }
        entry.completedRequests++;
        boolean warm = entry.completedRequests >= entry.rule.warmAfterRequests()
                && nowMs - entry.incarnationSeenMs >= entry.rule.warmAfterMs()
                && !entry.reportedCold;
        if (!warm) {
            return Optional.empty();
        }
        EndpointIncarnation warmEndpoint = new EndpointIncarnation(address, entry.incarnation);
        recordWarm(warmEndpoint);
        return Optional.of(warmEndpoint);
    }
}
