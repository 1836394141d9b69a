package org.pimentovale.kernel.endpoint;

/**
 * Defines when an endpoint of a pool becomes warm, and its concurrency limit until then. Immutable and thread safe.
 *
 * @param coldLimit maximum number of concurrent requests to a cold endpoint, over all instances
 * @param warmAfterRequests number of requests to which the incarnation must have responded
 * @param warmAfterMs milliseconds that must have passed since the incarnation was first observed
 */
public record WarmupRule(int coldLimit, int warmAfterRequests, int warmAfterMs) {}
