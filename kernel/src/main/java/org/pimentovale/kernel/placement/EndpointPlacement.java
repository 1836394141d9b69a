package org.pimentovale.kernel.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Chooses the endpoint of a request by predicted finish where endpoints report a slowdown, and by load elsewhere.
 *
 * <p>It is intended for loads under which an instance hears of an endpoint more rarely than the endpoint's state
 * changes, while many instances send to the same endpoints. Therefore an endpoint is drawn: the probability grows with
 * its slots and falls with its predicted delay, so that instances with the same report do not all choose the same
 * endpoint. The request's key determines the draw. Endpoints in other zones are drawn rarely until work has to wait in
 * this zone. Stateless and thread safe.
 */
public final class EndpointPlacement {
    // Exponent of the predicted delay in an endpoint's weight. Lower values use reports too little, higher ones
    // overload the endpoint with the earliest prediction.
    private static final double FINISH_POWER = 12;
    // Bounds the requests that all instances send to the endpoint that looks best to all of them.
    private static final double MAX_SHARE = 0.1;
    // Among fewer than 20 endpoints the bound is two even shares, as an even share alone approaches MAX_SHARE.
    private static final double MAX_SHARE_OF_FEW = 2;
    // Requests to other zones cost traffic between zones.
    private static final double OTHER_ZONE_WEIGHT = 0.05;
    // The mean wait for a slot in this zone, in service times, from which endpoints in other zones count the same.
    private static final double WAIT_OF_EQUAL_ZONES = 3;

    private EndpointPlacement() {}

    /**
     * Chooses an endpoint. Endpoints in backoff are used only if all untried endpoints are in backoff.
     *
     * @param usable the endpoints of the service that may get new work
     * @param request the request
     * @param workTimeFactor the learnt time of work at an endpoint, relative to the mean of its service; 1 if unknown
     * @param nowMs the current time in milliseconds
     * @return the choice, or empty if all usable endpoints were tried
     */
    public static Optional<Placement> choose(
            List<EndpointState> usable,
            PlacementRequest request,
            ToDoubleFunction<EndpointState> workTimeFactor,
            long nowMs) {
        FinishPredictor predictor = new FinishPredictor(usable, workTimeFactor, nowMs);
        if (!FinishPredictor.anyReportedSlowdown(usable)) {
            return EndpointChooser.choose(
                            usable,
                            request.tried(),
                            request.sharedPrefix().map(PromptPart::identifier),
                            request.zone(),
                            request.key(),
                            nowMs)
                    .map(endpoint -> new Placement(endpoint, Placement.Basis.LOAD, predictor.predict(endpoint)));
        }
        List<EndpointState> candidates = EndpointChooser.candidates(usable, request.tried(), nowMs);
        List<Placement> predicted = new ArrayList<>();
        candidates.forEach(endpoint ->
                predicted.add(new Placement(endpoint, Placement.Basis.FINISH, predictor.predict(endpoint))));
        Optional<Placement> drawn = draw(predicted, request);
        return drawn.flatMap(elsewhere -> request.sharedPrefix()
                        .flatMap(part -> AffinityPlacement.choose(predicted, elsewhere, part, request)))
                .or(() -> drawn);
    }

    private static Optional<Placement> draw(List<Placement> predicted, PlacementRequest request) {
        double[] weights = boundedWeights(predicted, request.zone());
        Optional<Placement> drawn = Optional.empty();
        double earliest = Double.POSITIVE_INFINITY;
        for (int position = 0; position < weights.length; position++) {
            Placement placement = predicted.get(position);
            String identifier = placement.endpoint().latest().identifier();
            // The least of exponential variates is drawn with a probability proportional to its rate.
            double variate = -Math.log(RendezvousHash.uniform(request.key(), identifier)) / weights[position];
            if (drawn.isEmpty() || variate < earliest) {
                earliest = variate;
                drawn = Optional.of(placement);
            }
        }
        return drawn;
    }

    private static double[] boundedWeights(List<Placement> predicted, String zone) {
        double otherZoneWeight = otherZoneWeight(predicted, zone);
        double[] weights = predicted.stream()
                .mapToDouble(placement -> weight(placement) * (isInZone(placement, zone) ? 1 : otherZoneWeight))
                .toArray();
        double maxShare = Math.max(MAX_SHARE, MAX_SHARE_OF_FEW / weights.length);
        if (maxShare >= 1) {
            return weights;
        }
        double sum = Arrays.stream(weights).sum();
        double maxOdds = maxShare / (1 - maxShare);
        return Arrays.stream(weights)
                .map(weight -> Math.min(weight, maxOdds * (sum - weight)))
                .toArray();
    }

    /** Returns the capacity of an endpoint, reduced by what delays work there at the moment. */
    private static double weight(Placement placement) {
        FinishPrediction prediction = placement.prediction();
        double delay = prediction.slowdown() * (1 + prediction.waitInServices());
        return prediction.slots() / prediction.workTimeFactor() * Math.pow(delay, -FINISH_POWER);
    }

    private static boolean isInZone(Placement placement, String zone) {
        return placement.endpoint().latest().zone().equals(zone);
    }

    /** Returns the weight of endpoints in other zones, which grows to 1 with the mean wait in this zone. */
    private static double otherZoneWeight(List<Placement> predicted, String zone) {
        double waitInServices = predicted.stream()
                .filter(placement -> isInZone(placement, zone))
                .mapToDouble(placement -> placement.prediction().waitInServices())
                .average()
                .orElse(WAIT_OF_EQUAL_ZONES);
        return Math.min(1, OTHER_ZONE_WEIGHT + waitInServices / WAIT_OF_EQUAL_ZONES);
    }
}
