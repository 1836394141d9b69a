package org.pimentovale.gateway.rollout;

import java.util.List;
import org.pimentovale.kernel.rollout.RolloutIdentity;
import org.pimentovale.kernel.rollout.RolloutPhase;

/**
 * What a decider tells the gateways, as the response to a report or pushed at a change of the phase.
 *
 * @param service the service's name
 * @param identity identifies the order
 * @param phase the phase
 * @param ageMs the order's age in milliseconds
 * @param decider the decider's name
 * @param sequence the number of this notice, which increases with each change at the same decider
 * @param canaries the identifiers of the canary endpoints
 * @param limits the limits of durations by route
 */
public record PhaseNotice(
        String service,
        RolloutIdentity identity,
        RolloutPhase phase,
        long ageMs,
        String decider,
        long sequence,
        List<String> canaries,
        List<RouteLimits> limits) {
    /** Copies the lists, which must not contain null. */
    public PhaseNotice {
        canaries = List.copyOf(canaries);
        limits = List.copyOf(limits);
    }
}
