package org.pimentovale.gateway.feed;

import java.util.function.LongSupplier;
import org.pimentovale.kernel.time.ClockReading;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * The clocks of a feed.
 *
 * @param monotonic the source of monotonic time
 * @param timeOfDayMs returns the time of day in milliseconds
 */
public record FeedClocks(MonotonicClock monotonic, LongSupplier timeOfDayMs) {
    long nowMs() {
        return monotonic.nowMs();
    }

    ClockReading read() {
        return new ClockReading(monotonic.nowMs(), timeOfDayMs.getAsLong());
    }
}
