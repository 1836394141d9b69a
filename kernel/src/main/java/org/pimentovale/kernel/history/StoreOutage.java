package org.pimentovale.kernel.history;

/**
 * A time without responses of the store, as one reader noticed it. The store may have been available for part of it,
 * as a lost response is noticed late.
 *
 * @param lastResponseMs when the last response before the outage arrived, in milliseconds of the monotonic clock
 * @param lastFailureMs when the last request that failed was sent; the outage did not end earlier
 * @param restored whether the store was restored from a backup, which may lack objects however short the outage was
 */
public record StoreOutage(long lastResponseMs, long lastFailureMs, boolean restored) {}
