package org.pimentovale.kernel.placement;

import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.pimentovale.kernel.directory.EndpointLoad;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.directory.LoadReport;

/**
 * Predicts when the endpoints of a service would finish a request, from the state at one moment.
 *
 * <p>The mean of the endpoints' latest reports stands in for what is not known of one. Not thread safe; used on one
 * event loop and dropped after the decision.
 */
public final class FinishPredictor {
    private static final double MEAN_LOAD_DECAY_MS = 3_000;
    // The number of calls is never exact, so the predicted wait begins to grow before the last slot is taken. Both
    // constants set the width of this transition in calls: at least MIN_EDGE_CALLS, and without a report
    // UNKNOWN_EDGE_FACTOR times the square root of the number.
    private static final double MIN_EDGE_CALLS = 0.5;
    private static final double UNKNOWN_EDGE_FACTOR = 2;

    private final ToDoubleFunction<EndpointState> workTimeFactor;
    private final long nowMs;
    private final double meanCallsPerSlot;
    private final double meanSlowdown;

    /**
     * Creates a predictor.
     *
     * @param endpoints the endpoints from which the means are taken
     * @param workTimeFactor the learnt time of work at an endpoint, relative to the mean of its service; 1 if unknown
     * @param nowMs the current time in milliseconds
     */
    public FinishPredictor(List<EndpointState> endpoints, ToDoubleFunction<EndpointState> workTimeFactor, long nowMs) {
        this.workTimeFactor = workTimeFactor;
        this.nowMs = nowMs;
        this.meanCallsPerSlot = meanCallsPerSlot(endpoints, nowMs);
        this.meanSlowdown = endpoints.stream()
                .flatMapToDouble(endpoint -> reportedSlowdown(endpoint).stream())
                .average()
                .orElse(1);
    }

    private static double meanCallsPerSlot(List<EndpointState> endpoints, long nowMs) {
        double weights = 0;
        double sum = 0;
        for (EndpointState endpoint : endpoints) {
            EndpointLoad load = endpoint.load();
            if (load.report().isPresent()) {
                double weight = Math.exp(-load.reportAgeMs(nowMs).orElseThrow() / MEAN_LOAD_DECAY_MS);
                weights += weight;
                sum += weight * load.report().get().calls() / endpoint.slots();
            }
        }
        return weights > 0 ? sum / weights : 0;
    }

    /**
     * Returns the slowdown that an endpoint reported last.
     *
     * @param endpoint the endpoint
     * @return the slowdown, whatever its age; empty if its latest report has none
     */
    public static OptionalDouble reportedSlowdown(EndpointState endpoint) {
        return endpoint.load().report().map(LoadReport::slowdown).orElse(OptionalDouble.empty());
    }

    /**
     * Tells whether the endpoints report how long work takes on their machines at the moment.
     *
     * @param endpoints the endpoints of a service
     * @return whether the latest report of at least one contains a slowdown
     */
    static boolean anyReportedSlowdown(List<EndpointState> endpoints) {
        return endpoints.stream()
                .anyMatch(endpoint -> reportedSlowdown(endpoint).isPresent());
    }

    /**
     * Predicts for one endpoint.
     *
     * @param endpoint the endpoint
     * @return the prediction for the next request
     */
    public FinishPrediction predict(EndpointState endpoint) {
        int slots = endpoint.slots();
        double meanCalls = meanCallsPerSlot * slots;
        double calls = endpoint.load().estimateCalls(slots, meanCalls, nowMs);
        double unknown = 1 - endpoint.load().weight(slots, nowMs);
        double edge = Math.max(MIN_EDGE_CALLS, UNKNOWN_EDGE_FACTOR * unknown * Math.sqrt(calls));
        return new FinishPrediction(
                calls,
                slots,
                endpoint.load().estimateSlowdown(meanSlowdown, nowMs),
                workTimeFactor.applyAsDouble(endpoint),
                softPositive(calls + 1 - slots, edge) / slots);
    }

    /** Returns the expected positive part of a value that is known up to an error of about the given size. */
    private static double softPositive(double value, double edge) {
        double scaled = value / edge;
        return scaled > 0 ? value + edge * Math.log1p(Math.exp(-scaled)) : edge * Math.log1p(Math.exp(scaled));
    }
}
