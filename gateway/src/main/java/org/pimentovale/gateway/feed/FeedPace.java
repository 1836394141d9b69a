package org.pimentovale.gateway.feed;

import java.util.function.IntSupplier;

/**
 * How often a feed asks the store.
 *
 * @param longestWaitMs how long one wait for changes lasts at most, in milliseconds
 * @param gatherMs how long further changes gather after some came, so that one call brings them all, in milliseconds
 */
public record FeedPace(int longestWaitMs, IntSupplier gatherMs) {}
