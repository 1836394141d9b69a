package org.pimentovale.gateway.rollout;

import java.util.Map;
import org.pimentovale.kernel.rollout.SideCounts;

/**
 * The evidence of one gateway for one route.
 *
 * @param route the route's name
 * @param old the responses of the old builds since the order
 * @param endpoints the responses of the new build since the order, by endpoint
 * @param durations the old builds' recent durations, see {@link org.pimentovale.kernel.rollout.DurationHistogram}
 * @param pauses the old builds' recent mean pauses between events
 */
public record RouteReport(
        String route,
        SideCounts old,
        Map<String, SideCounts> endpoints,
        Map<Integer, Long> durations,
        Map<Integer, Long> pauses) {
    /** Copies the maps, which must not contain null. */
    public RouteReport {
        endpoints = Map.copyOf(endpoints);
        durations = Map.copyOf(durations);
        pauses = Map.copyOf(pauses);
    }

    boolean isValid() {
        return old.isValid() && endpoints.values().stream().allMatch(SideCounts::isValid);
    }
}
