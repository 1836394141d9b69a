package org.pimentovale.kernel.shutdown;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The latest durations of operations, by name.
 *
 * <p>Invariant: at most {@link #SAMPLES_PER_NAME} durations of the {@link #MAX_NAMES} names used last are kept. Not
 * thread safe.
 */
final class RecentDurations {
    private static final int SAMPLES_PER_NAME = 64;
    private static final int MIN_SAMPLES = 5;
    private static final int MAX_NAMES = 1_024;
    private static final double HIGH_QUANTILE = 0.95;

    private final Map<String, Deque<Long>> samplesMs = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deque<Long>> eldest) {
            return size() > MAX_NAMES;
        }
    };

    /** Records a duration, which replaces the oldest one of the same name if there are many. */
    void record(String name, long durationMs) {
        Deque<Long> samples = samplesMs.computeIfAbsent(name, unused -> new ArrayDeque<>());
        if (samples.size() == SAMPLES_PER_NAME) {
            samples.removeFirst();
        }
        samples.addLast(durationMs);
    }

    /** Returns a duration that few operations of the name exceed, empty if too few are known. */
    OptionalLong highMs(String name) {
        Deque<Long> samples = samplesMs.get(name);
        if (samples == null || samples.size() < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long[] sorted = samples.stream().mapToLong(Long::longValue).sorted().toArray();
        return OptionalLong.of(sorted[(int) Math.ceil(HIGH_QUANTILE * sorted.length) - 1]);
    }

    /** Returns the longest of the latest durations of the name, zero if none is known. */
    long longestMs(String name) {
        return samplesMs.getOrDefault(name, new ArrayDeque<>()).stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }
}
