package org.pimentovale.kernel.schedule;

import org.pimentovale.kernel.endpoint.Warmth;

/**
 * The state of an endpoint for display to operators. Immutable and thread safe.
 *
 * @param pool name of the pool
 * @param address host and port
 * @param zone the endpoint's availability zone
 * @param state {@code serving}, or the reason for which the endpoint does not serve normally
 * @param inFlight number of in-flight requests from this instance
 * @param totalInFlight estimated number of in-flight requests from all instances
 * @param baseMs estimated service time without load in milliseconds
 */
public record EndpointView(
        String pool, String address, String zone, String state, int inFlight, int totalInFlight, long baseMs) {

    static String describeState(EndpointLoadState state, Warmth warmth, SchedulerContext context, long nowMs) {
        if (context.withdrawnZones().contains(state.endpoint().zone())) {
            return "zone-withdrawn";
        }
        if (context.leavingAddresses().contains(state.endpoint().address())) {
            return "leaving";
        }
        if (warmth == Warmth.UNVERIFIED) {
            return "unverified";
        }
        if (state.suspended(nowMs)) {
            return "suspended";
        }
        return warmth == Warmth.COLD ? "cold" : "serving";
    }
}
