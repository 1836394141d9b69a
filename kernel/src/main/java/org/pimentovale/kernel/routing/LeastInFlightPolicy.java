package org.pimentovale.kernel.routing;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/** Takes the endpoint that runs the fewest requests of this instance. Thread safe. */
public final class LeastInFlightPolicy implements RoutingPolicy {
    @Override
    public String name() {
        return "least-in-flight";
    }

    @Override
    public Candidate choose(List<Candidate> candidates, long choiceNumber, long slackMs, RandomGenerator random) {
        return candidates.stream()
                .min(Comparator.comparingInt(Candidate::ownInFlight))
                .orElseThrow();
    }
}
