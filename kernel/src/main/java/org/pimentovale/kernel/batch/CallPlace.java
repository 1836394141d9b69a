package org.pimentovale.kernel.batch;

import java.util.Map;
import java.util.Set;

/**
 * Where a call may be made.
 *
 * @param zone the endpoint's availability zone
 * @param roomBytes the room that the endpoint has for results
 * @param freeZones the availability zones in which an endpoint is free
 * @param endpoints how many endpoints take work, by availability zone
 */
public record CallPlace(String zone, long roomBytes, Set<String> freeZones, Map<String, Integer> endpoints) {
    /** Copies the collections. */
    public CallPlace {
        freeZones = Set.copyOf(freeZones);
        endpoints = Map.copyOf(endpoints);
    }

    /**
     * Returns how many endpoints take work.
     *
     * @return the number, over all availability zones
     */
    public int allEndpoints() {
        return endpoints.values().stream().mapToInt(Integer::intValue).sum();
    }
}
