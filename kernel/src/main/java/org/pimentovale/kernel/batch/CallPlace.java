package org.pimentovale.kernel.batch;

import java.util.Set;

/**
 * Where a call may be made.
 *
 * @param zone the endpoint's availability zone
 * @param roomBytes the room that the endpoint has for results
 * @param freeZones the availability zones in which an endpoint is free
 * @param allZones the availability zones of all endpoints that take work
 */
public record CallPlace(String zone, long roomBytes, Set<String> freeZones, Set<String> allZones) {
    /** Copies the sets. */
    public CallPlace {
        freeZones = Set.copyOf(freeZones);
        allZones = Set.copyOf(allZones);
    }
}
