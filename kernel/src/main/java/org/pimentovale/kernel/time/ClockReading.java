package org.pimentovale.kernel.time;

/**
 * A moment by two clocks. Immutable and thread safe.
 *
 * @param monotonicMs monotonic time in milliseconds, which may stand still while the process is suspended
 * @param timeOfDayMs the time of day in milliseconds, which may be set forward or back
 */
public record ClockReading(long monotonicMs, long timeOfDayMs) {
    /**
     * Returns the moment some time later.
     *
     * @param durationMs the time in milliseconds
     * @return the later moment
     */
    public ClockReading plusMs(long durationMs) {
        return new ClockReading(monotonicMs + durationMs, timeOfDayMs + durationMs);
    }

    /**
     * Returns the time since an earlier moment by the clock that shows more, so that neither a suspension nor a clock
     * that was set back shortens it.
     *
     * @param earlier the earlier moment
     * @return milliseconds
     */
    public long longestMsSince(ClockReading earlier) {
        return Math.max(monotonicMs - earlier.monotonicMs, Math.abs(timeOfDayMs - earlier.timeOfDayMs));
    }
}
