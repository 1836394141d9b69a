package org.pimentovale.kernel.rollout;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Numbers of durations in ranges that each are a fifth wider than the one before, up to about two minutes.
 *
 * <p>Histograms of several gateways can be added. A quantile is the upper end of its range, so it is at most a fifth
 * too high. Not thread safe.
 */
public final class DurationHistogram {
    private static final int BUCKETS = 64;
    private static final double GROWTH = 1.2;

    private final TreeMap<Integer, Long> counts = new TreeMap<>();

    /**
     * Adds one duration.
     *
     * @param durationMs the duration in milliseconds
     */
    public void record(double durationMs) {
        int bucket = durationMs <= 1 ? 0 : (int) Math.ceil(Math.log(durationMs) / Math.log(GROWTH));
        counts.merge(Math.min(BUCKETS - 1, bucket), 1L, Long::sum);
    }

    /**
     * Adds the counts of another histogram. Counts of unknown ranges and negative ones are ignored.
     *
     * @param others the counts by range
     */
    public void add(Map<Integer, Long> others) {
        others.forEach((bucket, count) -> {
            if (bucket >= 0 && bucket < BUCKETS && count > 0) {
                counts.merge(bucket, count, Long::sum);
            }
        });
    }

    /**
     * Returns the counts.
     *
     * @return the counts by range, without empty ones
     */
    public Map<Integer, Long> counts() {
        return Map.copyOf(counts);
    }

    /**
     * Returns a quantile.
     *
     * @param quantile the share of the durations that the result is not below, from 0 to 1
     * @return milliseconds, empty if there are no durations
     */
    public OptionalLong quantileMs(double quantile) {
        long total = counts.values().stream().mapToLong(Long::longValue).sum();
        long remaining = Math.max(1, (long) Math.ceil(quantile * total));
        for (Map.Entry<Integer, Long> range : counts.entrySet()) {
            remaining -= range.getValue();
            if (remaining <= 0) {
                return OptionalLong.of((long) Math.ceil(Math.pow(GROWTH, range.getKey())));
            }
        }
        return OptionalLong.empty();
    }

    /**
     * Returns the number of durations.
     *
     * @return the number
     */
    public long size() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
