package org.pimentovale.kernel.batch;

import java.util.Map;
import java.util.Set;

/**
 * Where a call may be made.
 *
 * @param zone the endpoint's availability zone
 * @param availableResultBytes the room that the endpoint has for results
 * @param zonesWithFreeEndpoints the availability zones in which an endpoint is free
 * @param endpointsByZone how many endpoints take work, by availability zone
 */
public record CallTarget(String zone, long availableResultBytes, Set<String> zonesWithFreeEndpoints, Map<String, Integer> endpointsByZone) {
    /** Copies the collections. */
    public CallTarget {
        zonesWithFreeEndpoints = Set.copyOf(zonesWithFreeEndpoints);
        endpointsByZone = Map.copyOf(endpointsByZone);
    }

    /**
     * Returns how many endpoints take work.
     *
     * @return the number, over all availability zones
     */
    public int totalEndpoints() {
        return endpointsByZone.values().stream().mapToInt(Integer::intValue).sum();
    }
}
