package org.pimentovale.kernel.rollout;

import java.util.ArrayDeque;
import java.util.Deque;

/** The sum of the counts of the last five seconds. Not thread safe. */
final class RecentCounts {
    private static final long WINDOW_MS = 5_000;

    private record Sample(long atMs, SideCounts counts) {}

    private final Deque<Sample> samples = new ArrayDeque<>();

    void add(SideCounts counts, long nowMs) {
        if (counts.judged() > 0) {
            samples.addLast(new Sample(nowMs, counts));
        }
    }

    SideCounts sum(long nowMs) {
        while (!samples.isEmpty() && samples.peekFirst().atMs() <= nowMs - WINDOW_MS) {
            samples.removeFirst();
        }
        return samples.stream().map(Sample::counts).reduce(SideCounts.NONE, SideCounts::plus);
    }

    SideCounts sumOfLast(long durationMs, long nowMs) {
        return samples.stream()
                .filter(sample -> sample.atMs() > nowMs - durationMs)
                .map(Sample::counts)
                .reduce(SideCounts.NONE, SideCounts::plus);
    }
}
