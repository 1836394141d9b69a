package org.pimentovale.gateway.caller;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a gateway takes new connections, and how many requests run. Not thread safe; used on one event loop.
 */
public final class GatewayState {
    private boolean leaving;
    private final Set<RequestRun> running = new HashSet<>();

    /** Marks that the gateway shuts down. */
    public void leave() {
        leaving = true;
    }

    /**
     * Tells whether the gateway shuts down.
     *
     * @return whether it does
     */
    public boolean leaving() {
        return leaving;
    }

    /**
     * Records a request that begins.
     *
     * @param run the request
     */
    public void begin(RequestRun run) {
        running.add(run);
    }

    /**
     * Records a request that has ended.
     *
     * @param run the request
     */
    public void end(RequestRun run) {
        running.remove(run);
    }

    /** Refuses the requests that no endpoint runs, so that their callers can turn to another gateway in time. */
    public void refuseWaiting() {
        List.copyOf(running).forEach(RequestRun::refuseUnlessSent);
    }

    /**
     * Returns the requests that run.
     *
     * @return the number
     */
    public int running() {
        return running.size();
    }
}
