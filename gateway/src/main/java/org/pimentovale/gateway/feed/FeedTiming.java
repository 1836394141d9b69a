package org.pimentovale.gateway.feed;

import java.util.function.IntSupplier;
import org.pimentovale.kernel.history.SilenceLimit;

/**
 * The timing of a feed's requests to the store, and of what it believes after the store was restored.
 *
 * @param maxWaitMs maximum duration of one watch request, in milliseconds
 * @param batchDelayMs delay before the next watch request after changes arrived, in milliseconds, so that it returns
 *     several changes at once; 0 for no delay
 * @param retentionMs how long objects that a restored store does not list stay in force, in milliseconds
 * @param silence bounds how long a change may stay unknown on a connection that has gone silent
 */
public record FeedTiming(int maxWaitMs, IntSupplier batchDelayMs, long retentionMs, SilenceLimit silence) {
    /**
     * Creates the timing of a feed without a limit on silence.
     *
     * @param maxWaitMs maximum duration of one watch request, in milliseconds
     * @param batchDelayMs delay before the next watch request after changes arrived, in milliseconds
     * @param retentionMs how long objects that a restored store does not list stay in force, in milliseconds
     */
    public FeedTiming(int maxWaitMs, IntSupplier batchDelayMs, long retentionMs) {
        this(maxWaitMs, batchDelayMs, retentionMs, SilenceLimit.NONE);
    }

    /** Returns how long the next watch may wait, in milliseconds. */
    int waitMs() {
        return silence.watchWaitMs(maxWaitMs, batchDelayMs.getAsInt());
    }
}
