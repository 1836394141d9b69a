package org.pimentovale.kernel.hedge;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pimentovale.kernel.rollout.DurationHistogram;

/**
 * The recent durations of a service's responses as all gateways report them, from which the usual longest durations are
 * learnt in the same way as {@link ResponseDurations} does for one gateway.
 *
 * <p>A usual duration is the upper end of a range of the histogram, so it is at most a fifth too long. Invariant:
 * memory is bounded whatever is reported. Not thread safe.
 */
final class SharedDurations {
    private static final long SLICE_MS = 10_000;
    private static final long SLICES = ResponseDurations.VALID_MS / SLICE_MS;
    private static final int MAX_GROUPS = 256;
    // Most reports change a quantile by little, and a large fleet sends 150 of them in a second.
    private static final long COMPUTATION_INTERVAL_MS = 500;

    private final Map<DurationGroup, TreeMap<Long, DurationHistogram>> groups = new LinkedHashMap<>(16, 0.75f, true);
    private List<HedgeGrant.GroupDelay> delays = List.of();
    private long computeAtMs = Long.MIN_VALUE;

    void add(HedgeReport.GroupDurations reported, long nowMs) {
        if (reported.counts().isEmpty()) {
            return;
        }
        groups.computeIfAbsent(new DurationGroup(reported.route(), reported.sizeClass()), unused -> new TreeMap<>())
                .computeIfAbsent(nowMs / SLICE_MS, unused -> new DurationHistogram())
                .add(reported.counts());
        if (groups.size() > MAX_GROUPS) {
            groups.remove(groups.keySet().iterator().next());
        }
    }

    /** Returns the usual longest durations of the groups of which enough responses were seen. */
    List<HedgeGrant.GroupDelay> delays(long nowMs) {
        if (nowMs >= computeAtMs) {
            computeAtMs = nowMs + COMPUTATION_INTERVAL_MS;
            groups.values().forEach(slices -> slices.headMap(nowMs / SLICE_MS - SLICES, true)
                    .clear());
            groups.values().removeIf(Map::isEmpty);
            delays = groups.entrySet().stream()
                    .map(entry -> Map.entry(entry.getKey(), sum(entry.getValue())))
                    .filter(entry -> entry.getValue().size() >= ResponseDurations.MIN_SAMPLES)
                    .limit(HedgeReport.MAX_ENTRIES)
                    .map(entry -> new HedgeGrant.GroupDelay(
                            entry.getKey().route(),
                            entry.getKey().sizeClass(),
                            entry.getValue()
                                    .quantileMs(ResponseDurations.QUANTILE)
                                    .orElseThrow()))
                    .toList();
        }
        return delays;
    }

    private static DurationHistogram sum(Map<Long, DurationHistogram> slices) {
        DurationHistogram sum = new DurationHistogram();
        slices.values().forEach(slice -> sum.add(slice.counts()));
        return sum;
    }
}
