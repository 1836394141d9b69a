package org.pimentovale.gateway.rollout;

/**
 * An endpoint that was lost while it ran a request.
 *
 * @param route the name of the request's route
 * @param endpoint the endpoint's identifier
 * @param zone its availability zone
 * @param ofNewBuild whether it ran the new build
 * @param ageMs the order's age at the loss, in milliseconds, as the reporting gateway knows it
 */
public record LostEndpoint(String route, String endpoint, String zone, boolean ofNewBuild, long ageMs) {}
