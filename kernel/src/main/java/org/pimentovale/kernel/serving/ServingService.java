package org.pimentovale.kernel.serving;

import java.util.Optional;

/**
 * A service and what its endpoints bear.
 *
 * @param name the service's name
 * @param coldRequestsPerSecond requests a second that a cold endpoint bears, zero for no limit
 * @param pieces the limits of a service that works on pieces
 */
public record ServingService(String name, double coldRequestsPerSecond, Optional<PieceLimits> pieces) {}
