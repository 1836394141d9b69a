package org.pimentovale.kernel.serving;

import java.util.Optional;

/**
 * A service and the limits of its endpoints.
 *
 * @param name the service's name
 * @param coldRequestsPerSecond the maximum request rate of a cold endpoint, per second, zero for no limit
 * @param pieces the limits for pieces, empty if the service does not work on pieces
 */
public record ServingService(String name, double coldRequestsPerSecond, Optional<PieceLimits> pieces) {}
