package org.pimentovale.kernel.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Chooses the endpoint of a request from the local knowledge of this instance.
 *
 * <p>Requests that share a prompt part go to the same endpoint, independent of the instance that receives them, unless
 * its load is far above the average. All other requests go to the endpoint with the lowest load per slot. Stateless and
 * thread safe.
 */
public final class EndpointChooser {
    private static final double AFFINITY_LOAD_FACTOR = 1.5;
    private static final int AFFINITY_LOAD_SLACK_CALLS = 4;

    private EndpointChooser() {}

    /**
     * Chooses an endpoint for a request without a key. Zone and time break ties.
     *
     * @param usable the endpoints of the service that may get new work
     * @param tried the identifiers of the endpoints that the request was already sent to
     * @param sharedPrefix the identifier of the longest part of the prompt that is shared with other requests
     * @param zone the availability zone of this instance, preferred on equal load
     * @param nowMs the current time in milliseconds
     * @return the endpoint, or empty if all usable endpoints were tried
     */
    public static Optional<EndpointState> choose(
            List<EndpointState> usable, Set<String> tried, Optional<String> sharedPrefix, String zone, long nowMs) {
        return choose(usable, tried, sharedPrefix, zone, zone + nowMs, nowMs);
    }

    /**
     * Chooses an endpoint. Endpoints in backoff are used only if all untried endpoints are in backoff.
     *
     * @param usable the endpoints of the service that may get new work
     * @param tried the identifiers of the endpoints that the request was already sent to
     * @param sharedPrefix the identifier of the longest part of the prompt that is shared with other requests
     * @param zone the availability zone of this instance, preferred on equal load
     * @param key differs for each request and breaks ties, so that instances do not choose the same of equal endpoints
     * @param nowMs the current time in milliseconds
     * @return the endpoint, or empty if all usable endpoints were tried
     */
    public static Optional<EndpointState> choose(
            List<EndpointState> usable,
            Set<String> tried,
            Optional<String> sharedPrefix,
            String zone,
            String key,
            long nowMs) {
        List<EndpointState> candidates = candidates(usable, tried, nowMs);
        return sharedPrefix
                .flatMap(prefix -> byAffinity(candidates, prefix, nowMs))
                .or(() -> candidates.stream().min(byLoad(zone, key, nowMs)));
    }

    /** Returns the untried endpoints that are not in backoff, or all untried ones if all of them are. */
    static List<EndpointState> candidates(List<EndpointState> usable, Set<String> tried, long nowMs) {
        List<EndpointState> untried = usable.stream()
                .filter(endpoint -> !tried.contains(endpoint.latest().identifier()))
                .toList();
        List<EndpointState> healthy =
                untried.stream().filter(endpoint -> !endpoint.inBackoff(nowMs)).toList();
        return healthy.isEmpty() ? untried : healthy;
    }

    private static Optional<EndpointState> byAffinity(List<EndpointState> candidates, String prefix, long nowMs) {
        double mean = candidates.stream()
                .mapToInt(endpoint -> endpoint.expectedCalls(nowMs))
                .average()
                .orElse(0);
        return candidates.stream()
                .filter(endpoint ->
                        endpoint.expectedCalls(nowMs) <= AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_SLACK_CALLS)
                .max(Comparator.comparingLong(endpoint ->
                        RendezvousHash.weight(prefix, endpoint.latest().identifier())));
    }

    private static Comparator<EndpointState> byLoad(String zone, String key, long nowMs) {
        Comparator<EndpointState> relativeLoad = Comparator.comparingDouble(
                endpoint -> endpoint.expectedCalls(nowMs) * endpoint.latencyRatio() / endpoint.slots());
        return relativeLoad
                .thenComparing(endpoint -> !endpoint.latest().zone().equals(zone))
                .thenComparingLong(
                        endpoint -> RendezvousHash.weight(key, endpoint.latest().identifier()));
    }
}
