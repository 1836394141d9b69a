package org.pimentovale.store;

import io.vertx.core.Vertx;

/** Registers {@link HttpPlatform} as {@code http}. Thread safe. */
public final class HttpPlatformPlugin implements PlatformPlugin {
    @Override
    public String name() {
        return "http";
    }

    @Override
    public Platform open(Vertx vertx, String address, int callTimeoutMs) {
        return new HttpPlatform(vertx, address, callTimeoutMs);
    }
}
