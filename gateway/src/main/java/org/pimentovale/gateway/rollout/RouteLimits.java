package org.pimentovale.gateway.rollout;

import org.pimentovale.kernel.rollout.DurationLimits;

/**
 * The durations beyond which responses of a route are bad.
 *
 * @param route the route's name
 * @param limits the limits
 */
public record RouteLimits(String route, DurationLimits limits) {}
