package org.pimentovale.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Takes the endpoint that is predicted to finish first, from measured service time, load, prefix cache and zone.
 *
 * <p>The prediction is spread by a small random factor, since several instances decide on the same lagging reports and
 * must not all choose alike. Thread safe.
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
     * Predicts how long an endpoint takes.
     *
     * @param candidate the endpoint
     * @param slackMs time left before the deadline beyond the predicted finish, in milliseconds
     * @return milliseconds
     */
    static double predictedMs(Candidate candidate, long slackMs) {
        double load = (double) candidate.totalInFlight() / candidate.limit();
        double predicted = candidate.baseMs() * (1 + load);
        if (candidate.prefixCached()) {
            predicted *= CACHED_PREFIX_FACTOR;
        }
        if (!candidate.sameZone()) {
            predicted += CROSS_ZONE_PENALTY_MS;
        }
        if (!candidate.cold()) {
            return predicted;
        }
        // Requests with time to spare warm the endpoint up; the others avoid it.
        return slackMs > 2 * candidate.baseMs() ? predicted / COLD_FACTOR : predicted * COLD_FACTOR;
    }
}
