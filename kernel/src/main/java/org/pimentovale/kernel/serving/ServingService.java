package org.pimentovale.kernel.serving;

import java.util.Optional;

/**
 * A service and what its endpoints bear.
 *
 * @param name the service's name
 * @param healthPath the path that tells an endpoint's health
 * @param connectionLimit connections that one endpoint accepts from all callers
 * @param coldRequestsPerSecond requests a second that a cold endpoint bears, zero for no limit
 * @param pieces the limits of a service that works on pieces
 * @param engine the limits of a service of model engines
 */
public record ServingService(
        String name,
        String healthPath,
        int connectionLimit,
        double coldRequestsPerSecond,
        Optional<PieceLimits> pieces,
        Optional<EngineLimits> engine) {}
