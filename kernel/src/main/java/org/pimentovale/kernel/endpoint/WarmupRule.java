package org.pimentovale.kernel.endpoint;

/**
 * When an endpoint of a pool counts as warm, and what it bears until then. Immutable and thread safe.
 *
 * @param coldLimit requests that a cold endpoint bears at once, over all instances
 * @param warmAfterRequests requests that must have been answered
 * @param warmAfterMs milliseconds that must have passed since the incarnation was first seen
 */
public record WarmupRule(int coldLimit, int warmAfterRequests, int warmAfterMs) {}
