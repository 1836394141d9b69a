package org.pimentovale.gateway.limit;

/**
 * Tells the owner of a service that an endpoint has responded without naming a rate limit.
 *
 * @param incarnation identifies the endpoint and its start
 */
public record LiftedLimit(String incarnation) {}
