package org.pimentovale.gateway.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a gateway takes new connections, and how many requests run. Not thread safe; used on one event loop.
 */
public final class GatewayState {
    private boolean draining;
    private final Set<RequestExecution> running = new HashSet<>();

    /** Marks that the gateway shuts down. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Tells whether the gateway shuts down.
     *
     * @return whether it does
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Records a request that begins.
     *
     * @param execution the request
     */
    public void add(RequestExecution execution) {
        running.add(execution);
    }

    /**
     * Records a request that has ended.
     *
     * @param execution the request
     */
    public void remove(RequestExecution execution) {
        running.remove(execution);
    }

    /** Refuses the requests that no endpoint runs, so that their callers can turn to another gateway in time. */
    public void refuseUnsent() {
        List.copyOf(running).forEach(RequestExecution::refuseUnlessSent);
    }

    /**
     * Returns the requests that run.
     *
     * @return the number
     */
    public int runningCount() {
        return running.size();
    }
}
