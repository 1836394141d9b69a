package org.pimentovale.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/** Takes the endpoints in turn. Thread safe. */
public final class RoundRobinPolicy implements RoutingPolicy {
    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Candidate choose(List<Candidate> candidates, long choiceNumber, long slackMs, RandomGenerator random) {
        return candidates.get((int) Math.floorMod(choiceNumber, (long) candidates.size()));
    }
}
