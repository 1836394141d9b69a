package org.pimentovale.kernel.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What this instance knows of the warmth of each endpoint, and which warm-up leases it holds.
 *
 * <p>Invariants: an endpoint is warm only in an incarnation that somebody reported as warm; work for a cold endpoint is
 * permitted only within a lease held here and never beyond the cold limit less the work of others that a report made
 * after the acquisition shows. Thread safe; its lock is a leaf.
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
        private int answeredRequests;
        private boolean leased;
        private long leaseAcquiredMs;
        private long leaseValidUntilMs;
        private boolean othersInFlightKnown;
        private int othersInFlight;
    }

    /**
     * Sets the endpoints that exist; what was known of the others is forgotten.
     *
     * @param rules the rule of each endpoint, by address
     */
    public synchronized void retain(Map<String, WarmupRule> rules) {
        entries.keySet().retainAll(rules.keySet());
        rules.forEach((address, rule) -> entries.computeIfAbsent(address, unused -> new Entry()).rule = rule);
    }

    /**
     * Records that a probe or handshake has been answered.
     *
     * @param address the endpoint
     * @param report what it reported
     * @param requestedMs when the probe was sent
     * @param ownInFlight requests of this instance that ran on the endpoint when the report arrived
     * @param nowMs the time
     */
    public synchronized void observe(String address, LoadReport report, long requestedMs, int ownInFlight, long nowMs) {
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
            entry.othersInFlight = Math.max(0, report.inFlight() - ownInFlight);
        }
    }

    private static void startIncarnation(Entry entry, String incarnation, long nowMs) {
        entry.incarnation = incarnation;
        entry.incarnationSeenMs = nowMs;
        entry.answeredRequests = 0;
        entry.leased = false;
        entry.othersInFlightKnown = false;
    }

    /**
     * Records that connections to the endpoint were lost or refused, so that another incarnation may answer next.
     *
     * @param address the endpoint
     */
    public synchronized void recordConnectionLoss(String address) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.verified = false;
        }
    }

    /**
     * Records that an incarnation is warm.
     *
     * @param warmEndpoint the endpoint and its incarnation
     */
    public synchronized void recordWarm(EndpointIncarnation warmEndpoint) {
        warmIncarnations.put(warmEndpoint.address(), warmEndpoint.incarnation());
    }

    /**
     * Returns what is known of an endpoint's warmth.
     *
     * @param address the endpoint
     * @return its warmth
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
     * Tells whether somebody reported an incarnation as warm; that it is not cold is not enough, as an endpoint that
     * nobody can verify is neither.
     *
     * @param endpoint the endpoint and the incarnation
     * @return whether that incarnation is warm
     */
    public synchronized boolean isReportedWarm(EndpointIncarnation endpoint) {
        return endpoint.incarnation().equals(warmIncarnations.get(endpoint.address()));
    }

    /**
     * Returns the incarnation that was seen last.
     *
     * @param address the endpoint
     * @return the incarnation, or empty before the first probe
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
     * Returns the endpoints that no probe has verified.
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
     * Records that the warm-up lease of an endpoint was acquired or renewed here.
     *
     * @param endpoint the endpoint and the incarnation for which the lease was taken
     * @param renewal whether it was held before without a gap
     * @param validUntilMs the end of the lease on this instance's clock
     * @param nowMs the time
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
     * Records that this instance gives the warm-up lease of an endpoint back.
     *
     * @param address the endpoint
     */
    public synchronized void recordLeaseEnd(String address) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.leased = false;
        }
    }

    /**
     * Returns how many requests of this instance a cold endpoint may run now.
     *
     * @param address the endpoint
     * @param nowMs the time
     * @return the permitted number, zero without a valid lease
     */
    public synchronized int coldPermits(String address, long nowMs) {
        Entry entry = entries.get(address);
        if (entry == null || !entry.verified || !entry.leased || nowMs >= entry.leaseValidUntilMs) {
            return 0;
        }
        return entry.othersInFlightKnown ? Math.max(0, entry.rule.coldLimit() - entry.othersInFlight) : 0;
    }

    /**
     * Records an answer of a cold endpoint. An answer of an earlier incarnation may be read after the endpoint came
     * back; it says nothing of the incarnation that runs now and is passed over.
     *
     * @param endpoint the endpoint and the incarnation that answered
     * @param nowMs the time
     * @return the news that it is warm now, or empty
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
        entry.answeredRequests++;
        boolean warm = entry.answeredRequests >= entry.rule.warmAfterRequests()
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
