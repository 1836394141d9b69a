package org.pimentovale.gateway.caller;

/**
 * Whether a gateway takes new connections, and how many requests run. Not thread safe; used on one event loop.
 */
public final class GatewayState {
    private boolean leaving;
    private int running;

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

    /** Counts a request that begins. */
    public void begin() {
        running++;
    }

    /** Counts a request that has ended. */
    public void end() {
        running--;
    }

    /**
     * Returns the requests that run.
     *
     * @return the number
     */
    public int running() {
        return running;
    }
}
