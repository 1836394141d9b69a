package org.pimentovale.kernel.hedge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pimentovale.kernel.time.ClockReading;

/**
 * Grants the permits for the hedges of one service to all gateways, from the requests that they report.
 *
 * <p>Invariant: at each grant, the permits that may have been used within the window before any moment at which a
 * permit of this grant may be used do not exceed the operator's share of the requests that were reported for this pool
 * and sent within that window. Since a gateway reports each request for one pool at most, the sum over several owners
 * keeps the limit without messages between them. Not thread safe.
 */
public final class HedgeOwner {
    // A permit is wanted by a request that is slow already, so it is used as soon as the response arrives. The longer
    // it is valid, the more requests at both ends of the window do not count.
    private static final long PERMITS_PER_WINDOW = 50;
    // Bounds the entries to add up for each grant. A request counts as sent at the beginning of its slot.
    private static final long REQUEST_SLOT_MS = 50;
    private static final int MAX_GATEWAYS = 4_096;
    private static final double PERCENT = 100;
    /** Guards against a share such as 0.05 * 20 that is computed as slightly less than a whole number. */
    private static final double ROUNDING = 1e-9;

    private final String pool;
    private final HedgeSettings settings;
    private final long windowMs;
    private final long permitValidMs;
    private final TreeMap<Long, Long> requestsByTimeMs = new TreeMap<>();
    private final Deque<Grant> grants = new ArrayDeque<>();
    private final Map<String, Known> gateways = new LinkedHashMap<>(16, 0.75f, true);
    private final SlowResponses slowResponses = new SlowResponses();
    private final SharedDurations durations = new SharedDurations();
    private Optional<ClockReading> latest = Optional.empty();
    private long requestClockMs;

    /** Permits that were granted together. */
    private static final class Grant {
        private final long grantedMs;
        private int permits;

        private Grant(long grantedMs, int permits) {
            this.grantedMs = grantedMs;
            this.permits = permits;
        }
    }

    private record Known(long sequence, Optional<Grant> latestGrant) {}

    /**
     * Creates an owner that knows no requests.
     *
     * @param pool a name that no other owner uses, also not one with the same gateway name in another process
     * @param settings the operator's limit
     * @param windowMs the length of the window over which the limit applies, in milliseconds
     */
    public HedgeOwner(String pool, HedgeSettings settings, long windowMs) {
        this.pool = pool;
        this.settings = settings;
        this.windowMs = windowMs;
        this.permitValidMs = windowMs / PERMITS_PER_WINDOW;
    }

    /**
     * Records a report and grants permits. A report that arrives again, or after a later one, counts for nothing, and
     * one for another pool counts for the durations only.
     *
     * @param report the report, whose numbers are valid
     * @param now the current time
     * @return the permits and the usual durations
     */
    public HedgeGrant handle(HedgeReport report, ClockReading now) {
        advance(now);
        Optional<Known> known = Optional.ofNullable(gateways.get(report.gateway()));
        boolean repeated = known.isPresent() && report.sequence() <= known.get().sequence();
        int permits = 0;
        if (!repeated) {
            report.durations().forEach(group -> durations.add(group, now.monotonicMs()));
            boolean counts = report.pool().equals(pool);
            if (counts) {
                known.flatMap(Known::latestGrant).ifPresent(grant -> takeBack(grant, report.unusedPermits()));
                recordRequests(report);
                recordPace(report);
                permits = grantable(report.wantedPermits());
            }
            gateways.put(report.gateway(), new Known(report.sequence(), add(permits, now.monotonicMs())));
            if (gateways.size() > MAX_GATEWAYS) {
                gateways.remove(gateways.keySet().iterator().next());
            }
        }
        return new HedgeGrant(pool, requestClockMs, permits, permitValidMs, durations.delays(now.monotonicMs()));
    }

    /**
     * Advances the clock of the requests by the greater of the two times that have passed. If the monotonic clock stood
     * still while this process was suspended, requests would otherwise seem newer than they are. Grants are counted by
     * the monotonic clock, for which they only seem newer.
     */
    private void advance(ClockReading now) {
        long passedMs = latest.map(now::longestMsSince).orElse(0L);
        requestClockMs += Math.max(0, passedMs);
        latest = Optional.of(now);
        requestsByTimeMs
                .headMap(requestClockMs - (windowMs - permitValidMs), true)
                .clear();
        while (!grants.isEmpty() && now.monotonicMs() - grants.peekFirst().grantedMs >= windowMs + permitValidMs) {
            grants.pollFirst();
        }
    }

    private static void takeBack(Grant grant, int unused) {
        grant.permits -= Math.min(unused, grant.permits);
    }

    private void recordRequests(HedgeReport report) {
        long sentMs = Math.min(report.ownerTimeMs(), requestClockMs);
        for (HedgeReport.RequestCount requests : report.requests()) {
            long timeMs = Math.floorDiv(sentMs - requests.ageMs(), REQUEST_SLOT_MS) * REQUEST_SLOT_MS;
            if (timeMs > requestClockMs - (windowMs - permitValidMs)) {
                requestsByTimeMs.merge(timeMs, (long) requests.count(), Long::sum);
            }
        }
    }

    private void recordPace(HedgeReport report) {
        slowResponses.record(false, report.onTime());
        slowResponses.record(true, report.slow());
    }

    private int grantable(int wanted) {
        if (wanted == 0 || serviceSlow()) {
            return 0;
        }
        long left = (long) (settings.limitPercent() / PERCENT * requests() + ROUNDING) - granted();
        return (int) Math.max(0, Math.min(wanted, left));
    }

    private Optional<Grant> add(int permits, long nowMs) {
        if (permits == 0) {
            return Optional.empty();
        }
        Grant grant = new Grant(nowMs, permits);
        grants.addLast(grant);
        return Optional.of(grant);
    }

    /**
     * Returns the requests on which the next grant is based.
     *
     * @return the number at the last report
     */
    public long requests() {
        return requestsByTimeMs.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the permits that are or may have been used.
     *
     * @return the number at the last report
     */
    public long granted() {
        return grants.stream().mapToLong(grant -> grant.permits).sum();
    }

    /**
     * Tells whether so many responses are slow at all gateways that another endpoint would not respond sooner.
     *
     * @return whether no permits are granted for this reason
     */
    public boolean serviceSlow() {
        return slowResponses.widespread();
    }
}
