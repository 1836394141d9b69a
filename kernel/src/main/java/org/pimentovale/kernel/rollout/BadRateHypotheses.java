package org.pimentovale.kernel.rollout;

import java.util.Arrays;
import java.util.Comparator;

/**
 * The rates of bad responses that a good and a bad build would have, from the old build's rate at the same time.
 *
 * @param good the highest rate of a good build
 * @param bad the lowest rate of a bad build
 */
record BadRateHypotheses(double good, double bad) {
    // A good build may have a few bad responses though the old one had none.
    private static final double MIN_GOOD_RATE = 0.03;
    // A bad build fails a fifth of its responses or more, which is above 0.03 + 0.15. Where the old build fails more
    // often, the factor keeps the two rates apart.
    private static final double MIN_DIFFERENCE = 0.15;
    private static final double MIN_RATIO = 3;
    // Below 1, so that one good response does not rule out a bad build.
    private static final double MAX_RATE = 0.97;
    // Stands for what is known of a build of which few responses were seen: 1 % bad among 20 responses.
    private static final double PRIOR_RESPONSES = 20;
    private static final double PRIOR_BAD = 0.2;
    // The uncertainty of the old build's rate that counts for the new build.
    private static final double STANDARD_DEVIATIONS = 2;

    /** Derives the rates from the old build's responses. */
    static BadRateHypotheses of(SideCounts old) {
        double responses = old.judged() + PRIOR_RESPONSES;
        double rate = (old.bad() + PRIOR_BAD) / responses;
        double deviation = Math.sqrt(rate * (1 - rate) / responses);
        double good = Math.max(MIN_GOOD_RATE, rate + STANDARD_DEVIATIONS * deviation);
        return new BadRateHypotheses(good, Math.min(MAX_RATE, Math.max(good + MIN_DIFFERENCE, good * MIN_RATIO)));
    }

    /** Derives the rates from the responses, over several times, that show the highest rate. */
    static BadRateHypotheses ofHighest(SideCounts... old) {
        return Arrays.stream(old)
                .map(BadRateHypotheses::of)
                .max(Comparator.comparingDouble(BadRateHypotheses::good))
                .orElseThrow();
    }

    /** Returns the log likelihood ratio of responses, positive if they speak for a bad build. */
    double evidence(SideCounts responses) {
        if (bad <= good) {
            return 0;
        }
        return responses.bad() * Math.log(bad / good) + responses.good() * Math.log((1 - bad) / (1 - good));
    }
}
