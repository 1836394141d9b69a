package org.pimentovale.gateway.stage;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The dispatchers of this gateway, one for each service that was ever asked for here.
 *
 * <p>Invariant: a service has one dispatcher. Not thread safe; used on one event loop.
 */
public final class StageOwnership {
    private final Map<String, StageDispatcher> dispatchers = new HashMap<>();
    private final Function<String, StageDispatcher> factory;

    /**
     * Creates an empty set.
     *
     * @param factory creates the dispatcher of a service
     */
    public StageOwnership(Function<String, StageDispatcher> factory) {
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
    public void pumpAll() {
        dispatchers.values().forEach(StageDispatcher::pump);
    }

    /** Hands back all work that has not begun. */
    public void handBackAll() {
        dispatchers.values().forEach(StageDispatcher::handBack);
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
