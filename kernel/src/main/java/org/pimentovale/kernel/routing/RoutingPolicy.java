package org.pimentovale.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;
import org.pimentovale.plugin.Plugin;

/** Chooses among the endpoints that may take a request. Called under the lock of one pool's scheduler. */
public interface RoutingPolicy extends Plugin {
    /**
     * Chooses an endpoint.
     *
     * @param candidates at least one endpoint
     * @param choiceNumber counts the choices made for the pool
     * @param slackMs time left before the deadline beyond the predicted finish of the route, in milliseconds
     * @param random the source of randomness
     * @return the chosen candidate
     */
    Candidate choose(List<Candidate> candidates, long choiceNumber, long slackMs, RandomGenerator random);
}
