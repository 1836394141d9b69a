package org.pimentovale.kernel.hedge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The recent durations of responses by {@link DurationGroup}, from which the usual longest duration is learnt.
 *
 * <p>Samples are spaced in time and valid for {@link #VALID_MS}, so that a burst of some seconds in which all responses
 * are slow does not become the usual duration: until it makes up a quarter of that time, more than a fifth of its
 * responses exceed the quantile.
 * Invariant: memory is bounded whatever routes, sizes and rates occur. Not thread safe.
 */
public final class ResponseDurations {
    /** The quantile that counts as the usual longest duration. */
    public static final double QUANTILE = 0.95;

    /** The number of samples below which nothing is known: two of them are expected above the quantile. */
    public static final int MIN_SAMPLES = 40;

    /** How long a duration is taken into account, in milliseconds. */
    static final long VALID_MS = 60_000;
    // A group keeps at most about 1,600 samples: the first 400 without spacing, then one per 50 ms for 60 s. With
    // fewer, the quantile is unstable if a few percent of the endpoints are slow.
    private static final long SAMPLE_INTERVAL_MS = 50;
    private static final int SAMPLES_BEFORE_SPACING = 400;
    private static final long COMPUTATION_INTERVAL_MS = 100;
    private static final int MAX_GROUPS = 256;

    private final Map<DurationGroup, Samples> groups = new LinkedHashMap<>(16, 0.75f, true);

    private record Sample(long durationMs, long recordedMs) {}

    /** The samples of one group, in the order in which they were recorded. */
    private static final class Samples {
        private final Deque<Sample> latest = new ArrayDeque<>();
        private OptionalLong usualMs = OptionalLong.empty();
        private long computedMs;

        private void add(long durationMs, long nowMs) {
            removeExpired(nowMs);
            if (latest.size() < SAMPLES_BEFORE_SPACING
                    || nowMs - latest.peekLast().recordedMs() >= SAMPLE_INTERVAL_MS) {
                latest.addLast(new Sample(durationMs, nowMs));
            }
        }

        private OptionalLong usualMs(long nowMs) {
            removeExpired(nowMs);
            if (latest.size() < MIN_SAMPLES) {
                return OptionalLong.empty();
            }
            if (usualMs.isEmpty() || nowMs - computedMs >= COMPUTATION_INTERVAL_MS) {
                long[] sorted =
                        latest.stream().mapToLong(Sample::durationMs).sorted().toArray();
                usualMs = OptionalLong.of(sorted[(int) Math.ceil(QUANTILE * sorted.length) - 1]);
                computedMs = nowMs;
            }
            return usualMs;
        }

        private void removeExpired(long nowMs) {
            while (!latest.isEmpty() && nowMs - latest.peekFirst().recordedMs() > VALID_MS) {
                latest.pollFirst();
            }
        }
    }

    /**
     * Records how long a response took.
     *
     * @param route the route's name
     * @param workSize the size of the request, in any unit that is the same for all requests of the route
     * @param durationMs the duration in milliseconds
     * @param nowMs the current time in milliseconds
     */
    public void record(String route, long workSize, long durationMs, long nowMs) {
        groups.computeIfAbsent(DurationGroup.of(route, workSize), unused -> new Samples())
                .add(durationMs, nowMs);
        if (groups.size() > MAX_GROUPS) {
            groups.remove(groups.keySet().iterator().next());
        }
    }

    /**
     * Returns the duration that most responses do not exceed.
     *
     * @param route the route's name
     * @param workSize the size of the request
     * @param nowMs the current time in milliseconds
     * @return the {@link #QUANTILE} of the recent durations, empty if there are too few of them
     */
    public OptionalLong usualMs(String route, long workSize, long nowMs) {
        Samples samples = groups.get(DurationGroup.of(route, workSize));
        return samples == null ? OptionalLong.empty() : samples.usualMs(nowMs);
    }
}
