package org.pimentovale.kernel.limit;

/**
 * A rate limit that an endpoint named in a response.
 *
 * @param requestsPerSecond the requests that it takes in a second, from all instances together
 * @param namedAtMs when the latest response with the limit was received, in milliseconds
 */
public record NamedLimit(double requestsPerSecond, long namedAtMs) {}
