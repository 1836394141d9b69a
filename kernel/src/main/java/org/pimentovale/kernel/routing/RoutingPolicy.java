package org.pimentovale.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.pimentovale.plugin.Plugin;

/** Chooses among the endpoints with capacity for a request. Called while the lock of a pool's scheduler is held. */
public interface RoutingPolicy extends Plugin {
    /**
     * Chooses an endpoint.
     *
     * @param candidates the endpoints, at least one
     * @param choiceNumber number of earlier choices for the pool
     * @param slackMs time between the predicted finish of the route and the deadline, in milliseconds; negative if the
     *     route is predicted to be late
     * @param random the random generator of the pool
     * @return one of the candidates
     */
    Candidate choose(List<Candidate> candidates, long choiceNumber, long slackMs, RandomGenerator random);
}
