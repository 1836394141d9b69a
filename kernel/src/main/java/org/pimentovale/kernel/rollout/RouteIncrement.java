package org.pimentovale.kernel.rollout;

import java.util.Map;

/**
 * Responses of one route that were reported since the last time.
 *
 * @param old the responses of the old builds
 * @param endpoints the responses of the new build, by endpoint
 */
public record RouteIncrement(SideCounts old, Map<String, SideCounts> endpoints) {
    /** Copies the map. */
    public RouteIncrement {
        endpoints = Map.copyOf(endpoints);
    }

    /**
     * Returns the responses of the new build.
     *
     * @return the sum over its endpoints
     */
    public SideCounts fresh() {
        return endpoints.values().stream().reduce(SideCounts.NONE, SideCounts::plus);
    }
}
