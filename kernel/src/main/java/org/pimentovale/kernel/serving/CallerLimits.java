package org.pimentovale.kernel.serving;

/**
 * What callers may send, and how long they may take.
 *
 * @param maximumBodyBytes the largest body
 * @param idleTimeoutMs how long a connection may stay idle
 */
public record CallerLimits(long maximumBodyBytes, int idleTimeoutMs) {}
