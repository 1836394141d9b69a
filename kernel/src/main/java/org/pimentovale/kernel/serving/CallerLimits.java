package org.pimentovale.kernel.serving;

/**
 * Limits on the connections and requests of callers.
 *
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(long maximumBodyBytes, int idleTimeoutMs) {}
