package org.pimentovale.gateway.stage;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The dispatchers of this gateway, one for each service that was ever asked for here.
 *
 * <p>Invariant: a service has one dispatcher. Not thread safe; used on one event loop.
 */
public final class StageDispatchers {
    private final Map<String, StageDispatcher> dispatchers = new HashMap<>();
    private final Function<String, StageDispatcher> factory;

    /**
     * Creates an empty set.
     *
     * @param factory creates the dispatcher of a service
     */
    public StageDispatchers(Function<String, StageDispatcher> factory) {
        this.factory = factory;
    }

    /**
     * Returns the dispatcher of a service.
     *
     * @param service the service's name
     * @return the dispatcher
     */
    public StageDispatcher dispatcher(String service) {
        return dispatchers.computeIfAbsent(service, factory);
    }

    /** Lets all dispatchers look at the endpoints again. */
    public void dispatchAll() {
        dispatchers.values().forEach(StageDispatcher::dispatch);
    }

    /** Hands back all work that has not begun. */
    public void failAllUnstarted() {
        dispatchers.values().forEach(StageDispatcher::failUnstarted);
    }

    /**
     * Returns how many tickets have not ended.
     *
     * @return the number
     */
    public int openTickets() {
        return dispatchers.values().stream()
                .mapToInt(StageDispatcher::openTickets)
                .sum();
    }
}
