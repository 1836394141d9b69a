package org.pimentovale.kernel.schedule;

import org.pimentovale.kernel.endpoint.Warmth;

/**
 * An endpoint as operators see it. Immutable and thread safe.
 *
 * @param pool the pool's name
 * @param address host and port
 * @param zone the availability zone
 * @param state {@code serving}, or why it is not
 * @param inFlight requests of this instance
 * @param totalInFlight requests over all instances, as far as known
 * @param baseMs measured service time without load in milliseconds
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
