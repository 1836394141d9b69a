package org.pimentovale.kernel.shutdown;

/**
 * Whether work may start on an instance that may be shutting down, with the inputs that decided it.
 *
 * @param allowed whether the work may start
 * @param measured whether the expected duration was derived from earlier work rather than from the deadline alone
 * @param expectedMs how long the work is expected to last at most, in milliseconds
 * @param remainingMs the time until the instance ends, in milliseconds; very large if it does not shut down
 */
public record StartDecision(boolean allowed, boolean measured, long expectedMs, long remainingMs) {}
