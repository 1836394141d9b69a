package org.pimentovale.kernel.history;

import java.util.Optional;
import org.pimentovale.kernel.time.ClockReading;

/**
 * Determines since when all changes of a watched list are known.
 *
 * <p>The changes that a watch returns continue where the previous response ended, however late they arrive. A list
 * shows only the present, so what came and went since the previous response is unknown; it ends the coverage unless
 * that time is short by both clocks. A response may have waited in the process's buffers while the process was
 * suspended, so what counts is the moment up to which it is certainly valid, not the one at which it was read.
 *
 * <p>Invariant: the coverage never exceeds the time that the monotonic clock counted and the known time before it. Not
 * thread safe.
 */
public final class ChangeCoverage {
    private final long maxGapMs;
    private long sinceMs;
    private int beginnings;
    private Optional<ClockReading> validUntil = Optional.empty();

    /**
     * Creates a coverage that begins with the first list.
     *
     * @param maxGapMs the time within which nothing comes and goes, in milliseconds
     */
    public ChangeCoverage(long maxGapMs) {
        this.maxGapMs = maxGapMs;
    }

    /**
     * Records a complete list.
     *
     * @param sent the moment at which it was requested
     * @param received the moment at which it was complete
     */
    public void recordList(ClockReading sent, ClockReading received) {
        boolean continued = validUntil
                .filter(previous -> received.longestMsSince(previous) <= maxGapMs)
                .isPresent();
        if (!continued) {
            sinceMs = received.monotonicMs();
            beginnings++;
        }
        validUntil = Optional.of(sent);
    }

    /**
     * Records a response with all changes since the previous one.
     *
     * @param until a moment up to which no change is missing
     */
    public void recordChanges(ClockReading until) {
        validUntil = Optional.of(until);
    }

    /**
     * Adds the time before the first list. Does nothing if the coverage does not reach back to that list.
     *
     * @param earlierMs the time before the first list over which all changes are known, in milliseconds
     * @return whether the coverage reaches back to the first list
     */
    public boolean addEarlier(long earlierMs) {
        boolean sinceFirstList = beginnings == 1;
        if (sinceFirstList) {
            sinceMs -= earlierMs;
        }
        return sinceFirstList;
    }

    /**
     * Returns the time over which all changes are known, up to the moment for which the last response is valid.
     *
     * @return milliseconds, zero before the first list
     */
    public long coveredMs() {
        return validUntil
                .map(until -> Math.max(0, until.monotonicMs() - sinceMs))
                .orElse(0L);
    }
}
