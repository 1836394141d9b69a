package org.pimentovale.kernel.batch;

import java.util.Map;
import java.util.Set;

/**
 * The endpoint considered for a call, with the state of the service's other endpoints. Immutable and thread safe.
 *
 * @param zone the endpoint's availability zone
 * @param availableResultBytes the result capacity that is still available at the endpoint, in bytes
 * @param zonesWithFreeEndpoints the availability zones with at least one endpoint that can take a call now
 * @param endpointsByZone the number of endpoints that accept work, by availability zone
 */
public record CallTarget(
        String zone,
        long availableResultBytes,
        Set<String> zonesWithFreeEndpoints,
        Map<String, Integer> endpointsByZone) {
    /** Creates a target with copies of the collections. */
    public CallTarget {
        zonesWithFreeEndpoints = Set.copyOf(zonesWithFreeEndpoints);
        endpointsByZone = Map.copyOf(endpointsByZone);
    }

    /**
     * Returns the number of endpoints that accept work, over all availability zones.
     *
     * @return the sum of {@code endpointsByZone}
     */
    public int totalEndpoints() {
        return endpointsByZone.values().stream().mapToInt(Integer::intValue).sum();
    }
}
