package org.pimentovale.kernel.rollout;

/** Learns that the orders must be confirmed before a build gets requests. Called on the gateway's event loop. */
@FunctionalInterface
public interface BuildListener {
    /**
     * Called when a build is held back.
     *
     * @param service the service's name
     * @param build the build
     */
    void held(String service, String build);
}
