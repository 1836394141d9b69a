package org.pimentovale.kernel.hedge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.kernel.rollout.DurationHistogram;
import org.pimentovale.kernel.time.ClockReading;

/**
 * One gateway's part in the hedges of one service: what it has to report to the owner, and the permits and usual
 * durations that it got from it.
 *
 * <p>Invariants: each request counts either for this gateway's own quota or in one report; after a change between
 * quotas or owners, requests count for nothing during one window, so that hedges based on the former quota have left
 * the window before the new one is used. Permits expire {@link HedgeGrant#validMs} after the report was sent, by the
 * clock that shows more. Not thread safe.
 */
public final class HedgeShare {
    private static final long COUNT_SPACING_MS = 250;

    /** On which requests this gateway's hedges are based. */
    private enum Quota {
        /** On its own, since it knows no other gateway. */
        ALONE,
        /** On those of all gateways. */
        SHARED,
        /** On its own, since the owner does not respond. */
        WITHOUT_OWNER
    }

    private final long windowMs;
    private final Deque<Count> requests = new ArrayDeque<>();
    private final Map<DurationGroup, DurationHistogram> durations = new LinkedHashMap<>();
    private final Map<DurationGroup, Long> delays = new HashMap<>();
    private Quota quota = Quota.ALONE;
    private long countFromMs = Long.MIN_VALUE;
    private String pool = "";
    private long sequence;
    private int slow;
    private int onTime;
    private int permits;
    private long permitsValidMs;
    private Optional<ClockReading> permitsSince = Optional.empty();
    private Optional<ClockReading> grantedAt = Optional.empty();
    private long ownerTimeMs;

    /** Requests that were sent within {@link #COUNT_SPACING_MS} after the first of them. */
    private static final class Count {
        private final ClockReading first;
        private int requests;

        private Count(ClockReading first) {
            this.first = first;
        }
    }

    HedgeShare(long windowMs) {
        this.windowMs = windowMs;
    }

    /**
     * Uses this gateway's own quota, since it knows no other gateway.
     *
     * @param now the current time
     */
    public void useOwnQuota(ClockReading now) {
        change(Quota.ALONE, now);
    }

    /**
     * Uses the quota of all gateways.
     *
     * @param now the current time
     */
    public void useSharedQuota(ClockReading now) {
        change(Quota.SHARED, now);
    }

    /**
     * Uses this gateway's own quota, since the owner does not respond.
     *
     * @param now the current time
     */
    public void useQuotaWithoutOwner(ClockReading now) {
        change(Quota.WITHOUT_OWNER, now);
    }

    private void change(Quota next, ClockReading now) {
        if (quota != next) {
            quota = next;
            startPause(now);
        }
    }

    private void startPause(ClockReading now) {
        countFromMs = now.monotonicMs() + windowMs;
        requests.clear();
        permits = 0;
    }

    /**
     * Tells whether the quota of all gateways is used.
     *
     * @return whether permits are needed
     */
    public boolean shared() {
        return quota == Quota.SHARED;
    }

    /**
     * Records a request that is sent for the first time.
     *
     * @param now the current time
     * @return whether it counts for this gateway's own quota
     */
    boolean recordRequest(ClockReading now) {
        boolean counts = now.monotonicMs() >= countFromMs;
        if (counts && shared()) {
            removeExpired(now);
            if (requests.isEmpty() || now.longestMsSince(requests.peekLast().first) >= COUNT_SPACING_MS) {
                requests.addLast(new Count(now));
            }
            requests.peekLast().requests++;
        }
        return counts && !shared();
    }

    private void removeExpired(ClockReading now) {
        while (!requests.isEmpty() && now.longestMsSince(requests.peekFirst().first) >= windowMs) {
            requests.pollFirst();
        }
    }

    void recordDuration(DurationGroup group, long durationMs) {
        if (quota != Quota.ALONE && (durations.containsKey(group) || durations.size() < HedgeReport.MAX_ENTRIES)) {
            durations.computeIfAbsent(group, unused -> new DurationHistogram()).record((double) durationMs);
        }
    }

    void recordPace(boolean wasSlow) {
        if (quota != Quota.ALONE) {
            slow += wasSlow ? 1 : 0;
            onTime += wasSlow ? 0 : 1;
        }
    }

    /** Returns the usual longest duration as the owner knows it, empty if it was not told lately. */
    OptionalLong usualMs(DurationGroup group, ClockReading now) {
        boolean known = grantedAt
                .filter(time -> now.longestMsSince(time) <= ResponseDurations.VALID_MS)
                .isPresent();
        return known && delays.containsKey(group) ? OptionalLong.of(delays.get(group)) : OptionalLong.empty();
    }

    /** Uses a permit if there is one that has not expired. */
    boolean tryTakePermit(ClockReading now) {
        boolean valid = permitsSince
                .filter(since -> now.longestMsSince(since) < permitsValidMs)
                .isPresent();
        if (!valid || permits == 0) {
            return false;
        }
        permits--;
        return true;
    }

    /**
     * Tells whether anything was recorded since the last report.
     *
     * @return whether there is something to report
     */
    public boolean hasNews() {
        return !requests.isEmpty() || !durations.isEmpty() || slow + onTime > 0;
    }

    /**
     * Returns what was recorded since the last report, and forgets it. Permits that are left expire.
     *
     * @param gateway identifies this gateway's process
     * @param service the service's name
     * @param wantedPermits the slow requests that wait for a permit
     * @param now the time at which the report is sent
     * @return the report
     */
    public HedgeReport report(String gateway, String service, int wantedPermits, ClockReading now) {
        removeExpired(now);
        List<HedgeReport.RequestCount> counts = requests.stream()
                .map(count -> new HedgeReport.RequestCount(now.longestMsSince(count.first), count.requests))
                .toList();
        List<HedgeReport.GroupDurations> groups = durations.entrySet().stream()
                .map(entry -> new HedgeReport.GroupDurations(
                        entry.getKey().route(),
                        entry.getKey().sizeClass(),
                        entry.getValue().counts()))
                .toList();
        long sinceGrantMs =
                grantedAt.map(time -> now.monotonicMs() - time.monotonicMs()).orElse(0L);
        HedgeReport report = new HedgeReport(
                gateway,
                service,
                pool,
                ++sequence,
                ownerTimeMs + sinceGrantMs,
                counts,
                permits,
                wantedPermits,
                slow,
                onTime,
                groups);
        requests.clear();
        durations.clear();
        slow = 0;
        onTime = 0;
        permits = 0;
        return report;
    }

    /**
     * Applies the owner's response to the latest report.
     *
     * @param grant the response
     * @param reported the time at which the report was sent
     * @param now the current time
     */
    public void accept(HedgeGrant grant, ClockReading reported, ClockReading now) {
        change(Quota.SHARED, now);
        if (!grant.pool().equals(pool)) {
            pool = grant.pool();
            startPause(now);
        } else {
            permits = Math.max(0, grant.permits());
            permitsSince = Optional.of(reported);
            permitsValidMs = Math.min(grant.validMs(), windowMs);
        }
        ownerTimeMs = grant.ownerTimeMs();
        grantedAt = Optional.of(now);
        delays.clear();
        grant.delays()
                .forEach(delay -> delays.put(new DurationGroup(delay.route(), delay.sizeClass()), delay.usualMs()));
    }
}
