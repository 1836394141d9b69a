package org.pimentovale.kernel.hedge;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.placement.EndpointChooser;

/**
 * Chooses the endpoint of a second copy, which must not delay other requests or be slow itself. Stateless and thread
 * safe.
 */
public final class HedgeTargets {
    private HedgeTargets() {}

    /**
     * Chooses an endpoint that is warm, healthy, without a rate limit, and has a free slot. Another availability zone
     * is used only if no such endpoint is left in this one.
     *
     * @param available the endpoints that may get the request and did not get it yet, none of them in slow start
     * @param zone the availability zone of this instance
     * @param nowMs the current time in milliseconds
     * @return the endpoint, empty if there is none
     */
    public static Optional<EndpointState> choose(List<EndpointState> available, String zone, long nowMs) {
        List<EndpointState> fit =
                available.stream().filter(endpoint -> hasRoom(endpoint, nowMs)).toList();
        List<EndpointState> near = fit.stream()
                .filter(endpoint -> endpoint.latest().zone().equals(zone))
                .toList();
        return EndpointChooser.choose(near.isEmpty() ? fit : near, Set.of(), Optional.empty(), zone, nowMs);
    }

    private static boolean hasRoom(EndpointState endpoint, long nowMs) {
        return !endpoint.cold(nowMs)
                && !endpoint.inBackoff(nowMs)
                && endpoint.requestLimit().isEmpty()
                && endpoint.expectedCalls(nowMs) < slots(endpoint);
    }

    /**
     * Returns how much of the service's capacity is in use.
     *
     * @param available the endpoints of the service that may get requests
     * @param nowMs the current time in milliseconds
     * @return the calls at the endpoints divided by their slots, 1 if there are none
     */
    public static double occupiedShare(List<EndpointState> available, long nowMs) {
        int slots = available.stream().mapToInt(HedgeTargets::slots).sum();
        int calls = available.stream()
                .mapToInt(endpoint -> endpoint.expectedCalls(nowMs))
                .sum();
        return slots == 0 ? 1 : (double) calls / slots;
    }

    private static int slots(EndpointState endpoint) {
        return Math.max(1, endpoint.latest().slots());
    }
}
