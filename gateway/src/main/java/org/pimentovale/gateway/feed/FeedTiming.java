package org.pimentovale.gateway.feed;

import java.util.function.IntSupplier;

/**
 * How often a feed asks the store.
 *
 * @param maxWaitMs how long one wait for changes lasts at most, in milliseconds
 * @param batchDelayMs how long further changes gather after some came, so that one call brings them all, in milliseconds
 */
public record FeedTiming(int maxWaitMs, IntSupplier batchDelayMs) {}
