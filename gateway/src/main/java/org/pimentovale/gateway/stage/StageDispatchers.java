package org.pimentovale.gateway.stage;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * The dispatchers of this gateway, created when a service is first used here.
 *
 * <p>Invariant: a service has at most one dispatcher. Not thread safe; used on one event loop.
 */
public final class StageDispatchers {
    private final Map<String, StageDispatcher> dispatchers = new HashMap<>();
    private final Function<String, StageDispatcher> factory;

    /**
     * Creates an empty collection.
     *
     * @param factory creates the dispatcher of a service
     */
    public StageDispatchers(Function<String, StageDispatcher> factory) {
        this.factory = factory;
    }

    /**
     * Returns the dispatcher of a service, and creates it if there is none.
     *
     * @param service the service's name
     * @return the dispatcher
     */
    public StageDispatcher dispatcher(String service) {
        return dispatchers.computeIfAbsent(service, factory);
    }

    /** Lets all dispatchers start calls, for instance after endpoints changed. */
    public void dispatchAll() {
        dispatchers.values().forEach(StageDispatcher::dispatch);
    }

    /** Fails all tickets that have not started, so that another gateway takes them over. */
    public void failAllUnstarted() {
        dispatchers.values().forEach(StageDispatcher::failUnstarted);
    }

    /**
     * Fails all tickets that cannot be done by a certain time, so that another gateway takes them over.
     *
     * @param endMs the time when this gateway ends, in milliseconds of the monotonic clock
     */
    public void failAllUnfinishable(long endMs) {
        dispatchers.values().forEach(dispatcher -> dispatcher.failUnfinishable(endMs));
    }

    /**
     * Returns the number of open tickets.
     *
     * @return the number over all services
     */
    public int openTickets() {
        return dispatchers.values().stream()
                .mapToInt(StageDispatcher::openTickets)
                .sum();
    }
}
