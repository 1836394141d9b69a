package org.pimentovale.kernel.placement;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.pimentovale.kernel.directory.EndpointState;

/**
 * Orders the endpoints that may get the next call of a stage, the one with the earliest predicted finish first.
 *
 * <p>It is intended for loads under which calls take several times longer on some machines for a moment. The owner of a
 * service sends all its calls, so each endpoint in the order has a free slot, and no other instance makes the same
 * choice: neither a wait nor a draw is needed. Where no endpoint reports a slowdown, the measured latency alone counts.
 * Stateless and thread safe.
 */
public final class StageCallOrder {
    private StageCallOrder() {}

    /**
     * Orders endpoints.
     *
     * @param available the endpoints with a free slot
     * @param usable all endpoints of the service, from which means are taken
     * @param workTimeFactor the learnt time of work at an endpoint, relative to the mean of its service; 1 if unknown
     * @param nowMs the current time in milliseconds
     * @return the available endpoints in the order in which they should be used
     */
    public static List<EndpointState> order(
            List<EndpointState> available,
            List<EndpointState> usable,
            ToDoubleFunction<EndpointState> workTimeFactor,
            long nowMs) {
        Comparator<EndpointState> byLatency = Comparator.comparingDouble(EndpointState::latencyRatio);
        if (!FinishPredictor.anyReportedSlowdown(usable)) {
            return available.stream().sorted(byLatency).toList();
        }
        FinishPredictor predictor = new FinishPredictor(usable, workTimeFactor, nowMs);
        Comparator<EndpointState> byFinish = Comparator.comparingDouble(
                endpoint -> predictor.predict(endpoint).presentWorkTimeFactor());
        return available.stream().sorted(byFinish.thenComparing(byLatency)).toList();
    }
}
