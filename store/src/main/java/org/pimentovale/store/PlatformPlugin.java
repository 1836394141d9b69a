package org.pimentovale.store;

import io.vertx.core.Vertx;
import org.pimentovale.plugin.Plugin;

/** A plug-in that connects to one type of platform. Implementations are thread safe. */
public interface PlatformPlugin extends Plugin {
    /**
     * Creates a client of the platform.
     *
     * @param vertx runs timers and connections
     * @param address the platform's address from the settings
     * @param callTimeoutMs the timeout of a call in milliseconds
     * @return the client
     */
    Platform open(Vertx vertx, String address, int callTimeoutMs);
}
