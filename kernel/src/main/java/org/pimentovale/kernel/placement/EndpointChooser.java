package org.pimentovale.kernel.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Chooses the endpoint of a request by what this instance knows alone.
 *
 * <p>Requests that share a prompt part go to the same endpoint, whichever instance they come through, as long as it is
 * not much busier than the others; all others go where the least work waits for each slot. Stateless and thread safe.
 */
public final class EndpointChooser {
    private static final double AFFINITY_LOAD_FACTOR = 1.5;
    private static final int AFFINITY_LOAD_SLACK_CALLS = 4;

    private EndpointChooser() {}

    /**
     * Chooses an endpoint.
     *
     * @param usable the endpoints that may get the request
     * @param tried identifiers of endpoints that the request was sent to before
     * @param sharedPart the longest part of the prompt that other requests share
     * @param zone the availability zone of this instance, which breaks ties
     * @param nowMs the time in milliseconds
     * @return the endpoint, or empty where there is none
     */
    public static Optional<EndpointState> choose(
            List<EndpointState> usable, Set<String> tried, Optional<String> sharedPart, String zone, long nowMs) {
        List<EndpointState> untried = usable.stream()
                .filter(endpoint -> !tried.contains(endpoint.latest().identifier()))
                .toList();
        List<EndpointState> healthy =
                untried.stream().filter(endpoint -> !endpoint.inBackoff(nowMs)).toList();
        List<EndpointState> candidates = healthy.isEmpty() ? untried : healthy;
        return sharedPart.flatMap(part -> byAffinity(candidates, part, nowMs)).or(() -> candidates.stream()
                .min(byLoad(zone, nowMs)));
    }

    private static Optional<EndpointState> byAffinity(List<EndpointState> candidates, String part, long nowMs) {
        double mean = candidates.stream()
                .mapToInt(endpoint -> endpoint.expectedCalls(nowMs))
                .average()
                .orElse(0);
        return candidates.stream()
                .filter(endpoint -> endpoint.expectedCalls(nowMs) <= AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_SLACK_CALLS)
                .max(Comparator.comparingLong(endpoint ->
                        RendezvousHash.weight(part, endpoint.latest().identifier())));
    }

    private static Comparator<EndpointState> byLoad(String zone, long nowMs) {
        Comparator<EndpointState> relativeLoad = Comparator.comparingDouble(endpoint -> endpoint.expectedCalls(nowMs)
                * endpoint.latencyRatio()
                / Math.max(1, endpoint.latest().slots()));
        return relativeLoad
                .thenComparing(endpoint -> !endpoint.latest().zone().equals(zone))
                .thenComparing(endpoint -> endpoint.latest().identifier());
    }
}
