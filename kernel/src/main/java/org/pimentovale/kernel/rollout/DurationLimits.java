package org.pimentovale.kernel.rollout;

/**
 * The durations beyond which a response counts as bad.
 *
 * @param durationMs the limit of the time to the end of a response or to the first event, in milliseconds
 * @param pauseMs the limit of the mean pause between events, in milliseconds
 */
public record DurationLimits(long durationMs, long pauseMs) {
    /** No limits, while the old build's durations are not known. */
    public static final DurationLimits NONE = new DurationLimits(Long.MAX_VALUE, Long.MAX_VALUE);

    private static final double QUANTILE = 0.95;
    private static final long FACTOR = 2;
    // The slowest of ten durations is below the usual one with a probability of 0.1 %. The slowest is also the 95th
    // percentile of up to 19 durations, which can make the limit too high but not too low.
    private static final int MIN_DURATIONS = 10;
    // A pause of the collector or the scheduler takes some milliseconds, which says nothing of the endpoint.
    private static final long MIN_LIMIT_MS = 10;

    /**
     * Derives the limits from the old build's responses.
     *
     * @param durations the durations
     * @param pauses the mean pauses
     * @return twice the 95th percentiles, without a limit where few are known
     */
    public static DurationLimits of(DurationHistogram durations, DurationHistogram pauses) {
        return new DurationLimits(limit(durations), limit(pauses));
    }

    /**
     * Replaces limits that are not known by earlier ones, such as when the old build gets no requests any more.
     *
     * @param earlier the limits known before
     * @return the known limits
     */
    public DurationLimits orEarlier(DurationLimits earlier) {
        return new DurationLimits(
                durationMs == Long.MAX_VALUE ? earlier.durationMs : durationMs,
                pauseMs == Long.MAX_VALUE ? earlier.pauseMs : pauseMs);
    }

    private static long limit(DurationHistogram histogram) {
        return histogram.size() < MIN_DURATIONS
                ? Long.MAX_VALUE
                : Math.max(MIN_LIMIT_MS, FACTOR * histogram.quantileMs(QUANTILE).orElseThrow());
    }
}
