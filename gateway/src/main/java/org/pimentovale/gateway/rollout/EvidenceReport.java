package org.pimentovale.gateway.rollout;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.rollout.RolloutIdentity;
import org.pimentovale.kernel.rollout.RolloutPhase;

/**
 * What one gateway has seen since an order; sent to the decider.
 *
 * @param gateway the gateway's name
 * @param early whether it is sent before its turn, for instance after a bad response; empty if an older
 *     gateway sent it, which only reports regularly
 * @param service the service's name
 * @param identity identifies the order
 * @param ageMs the order's age as the gateway knows it, in milliseconds
 * @param phase the phase in which the gateway is
 * @param routes the evidence by route, at most {@link #MAX_ROUTES}
 * @param requestDurations the durations of whole requests at the old builds since the order
 * @param runningAtOld the requests that run at the old builds now
 * @param losses the endpoints that were lost lately, at most {@link #MAX_LOSSES}
 */
public record EvidenceReport(
        String gateway,
        Optional<Boolean> early,
        String service,
        RolloutIdentity identity,
        long ageMs,
        RolloutPhase phase,
        List<RouteReport> routes,
        Map<Integer, Long> requestDurations,
        int runningAtOld,
        List<LostEndpoint> losses) {
    /** The largest number of routes in a report. */
    static final int MAX_ROUTES = 64;

    /** The largest number of losses in a report. */
    static final int MAX_LOSSES = 64;

    private static final long MAX_AGE_MS = 2 * 86_400_000L;

    /** Copies the collections, which must not contain null. */
    public EvidenceReport {
        routes = List.copyOf(routes);
        requestDurations = Map.copyOf(requestDurations);
        losses = List.copyOf(losses);
    }

    /**
     * Checks what a peer has sent.
     *
     * @return this report
     * @throws ServingException if a number is out of range
     */
    EvidenceReport validated() {
        boolean valid = ageMs >= 0
                && ageMs <= MAX_AGE_MS
                && runningAtOld >= 0
                && routes.size() <= MAX_ROUTES
                && losses.size() <= MAX_LOSSES
                && routes.stream().allMatch(RouteReport::isValid);
        if (!valid) {
            throw ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "a number of the evidence is out of range");
        }
        return this;
    }
}
