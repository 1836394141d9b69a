package org.pimentovale.store;

import io.vertx.core.Vertx;
import org.pimentovale.plugin.Plugin;

/** A way to reach a platform. Implementations are thread safe. */
public interface PlatformPlugin extends Plugin {
    /**
     * Opens the platform.
     *
     * @param vertx runs timers and connections
     * @param address where the platform answers, as the settings give it
     * @param callTimeoutMs the longest wait for one call in milliseconds
     * @return the platform
     */
    Platform open(Vertx vertx, String address, int callTimeoutMs);
}
