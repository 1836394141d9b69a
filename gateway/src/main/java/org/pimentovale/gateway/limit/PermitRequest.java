package org.pimentovale.gateway.limit;

/**
 * Asks the owner of a service for a permit to send a request to an endpoint with a rate limit.
 *
 * @param incarnation identifies the endpoint and its start
 * @param requestsPerSecond the limit that the endpoint named
 * @param ageMs the time since the endpoint named it, in milliseconds
 */
public record PermitRequest(String incarnation, double requestsPerSecond, long ageMs) {}
