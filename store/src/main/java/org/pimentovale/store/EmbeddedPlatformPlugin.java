package org.pimentovale.store;

import io.vertx.core.Vertx;

/** Registers {@link EmbeddedPlatform} as {@code embedded}. Thread safe. */
public final class EmbeddedPlatformPlugin implements PlatformPlugin {
    @Override
    public String name() {
        return "embedded";
    }

    @Override
    public Platform open(Vertx vertx, String address, int callTimeoutMs) {
        return new EmbeddedPlatform(vertx, new InMemoryObjectTable());
    }
}
