package org.pimentovale.kernel.placement;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.pimentovale.kernel.directory.EndpointState;

/**
 * Estimates which endpoints of a service have memory for the tokens of a request.
 *
 * <p>It is intended for loads under which a few long requests fill the memory of an engine that has free slots; the
 * engine then preempts the newest of its least urgent requests. The tokens of this instance's requests are known. Those
 * of other instances are their estimated number of calls times the mean tokens of a request, since an endpoint reports
 * calls but no tokens. A report of calls therefore corrects the estimate. Not thread safe; used on one event loop and
 * dropped after the decision.
 */
public final class EngineMemory {
    private final List<EndpointState> usable;
    private final MemoryDemand demand;
    private final FinishPredictor predictor;
    private final long nowMs;

    /**
     * Creates the estimates for one request.
     *
     * @param usable the endpoints of the service that may get new work
     * @param demand what the request needs
     * @param nowMs the current time in milliseconds
     */
    public EngineMemory(List<EndpointState> usable, MemoryDemand demand, long nowMs) {
        this.usable = usable;
        this.demand = demand;
        this.predictor = new FinishPredictor(usable, unused -> 1, nowMs);
        this.nowMs = nowMs;
    }

    /**
     * Estimates the memory of one endpoint.
     *
     * @param endpoint the endpoint
     * @return the estimate
     */
    public MemoryEstimate estimate(EndpointState endpoint) {
        double otherCalls = Math.max(0, predictor.predict(endpoint).calls() - endpoint.runningCalls());
        return new MemoryEstimate(demand, endpoint.runningTokens() + otherCalls * demand.meanTokens());
    }

    /**
     * Returns the endpoints that have memory for the request.
     *
     * @return the endpoints, possibly none
     */
    public List<EndpointState> withCapacity() {
        return usable.stream().filter(this::fits).toList();
    }

    /**
     * Returns the endpoints that must not get the request because another one has memory for it.
     *
     * @param tried the identifiers of the endpoints that the request was already sent to
     * @return the identifiers; none if no untried endpoint has memory, or only endpoints in backoff have
     */
    public Set<String> avoided(Set<String> tried) {
        List<EndpointState> candidates = EndpointChooser.candidates(usable, tried, nowMs);
        Set<String> full = candidates.stream()
                .filter(Predicate.not(this::fits))
                .map(endpoint -> endpoint.latest().identifier())
                .collect(Collectors.toSet());
        return full.size() < candidates.size() ? full : Set.of();
    }

    private boolean fits(EndpointState endpoint) {
        return estimate(endpoint).fits();
    }
}
