package org.pimentovale.gateway.feed;

import java.util.function.IntSupplier;

/**
 * The timing of a feed's requests to the store, and of what it believes after the store was restored.
 *
 * @param maxWaitMs maximum duration of one watch request, in milliseconds
 * @param batchDelayMs delay before the next watch request after changes arrived, in milliseconds, so that it returns
 *     several changes at once; 0 for no delay
 * @param retentionMs how long objects that a restored store does not list stay in force, in milliseconds
 */
public record FeedTiming(int maxWaitMs, IntSupplier batchDelayMs, long retentionMs) {}
