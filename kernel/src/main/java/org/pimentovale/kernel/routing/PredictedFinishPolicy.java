package org.pimentovale.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint that is predicted to finish first, given measured service time, load, cached prefix, zone and
 * warmth.
 *
 * <p>A small random factor is applied to each prediction, since several instances decide on the same lagging reports
 * and must not all choose the same endpoint. Thread safe.
 */
public final class PredictedFinishPolicy implements RoutingPolicy {
    private static final double CROSS_ZONE_PENALTY_MS = 3.0;
    private static final double CACHED_PREFIX_FACTOR = 0.75;
    private static final double JITTER_RATIO = 0.1;
    private static final double COLD_FACTOR = 1.5;

    @Override
    public String name() {
        return "predicted-finish";
    }

    @Override
    public Candidate choose(List<Candidate> candidates, long choiceNumber, long slackMs, RandomGenerator random) {
        Candidate best = candidates.get(0);
        double bestMs = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            double predictedMs = predictedMs(candidate, slackMs) * (1 + JITTER_RATIO * random.nextDouble());
            if (predictedMs < bestMs) {
                best = candidate;
                bestMs = predictedMs;
            }
        }
        return best;
    }

    /**
     * Predicts the service time of an endpoint, weighted by its warmth.
     *
     * @param candidate the endpoint
     * @param slackMs time between the predicted finish of the route and the deadline, in milliseconds
     * @return the weighted service time in milliseconds, for comparison between candidates
     */
    static double predictedMs(Candidate candidate, long slackMs) {
        double load = (double) candidate.totalInFlight() / candidate.limit();
        double predicted = candidate.unloadedServiceMs() * (1 + load);
        if (candidate.prefixCached()) {
            predicted *= CACHED_PREFIX_FACTOR;
        }
        if (!candidate.sameZone()) {
            predicted += CROSS_ZONE_PENALTY_MS;
        }
        if (!candidate.cold()) {
            return predicted;
        }
        // Requests with enough slack prefer cold endpoints and so warm them up; the others avoid them.
        return slackMs > 2 * candidate.unloadedServiceMs() ? predicted / COLD_FACTOR : predicted * COLD_FACTOR;
    }
}
