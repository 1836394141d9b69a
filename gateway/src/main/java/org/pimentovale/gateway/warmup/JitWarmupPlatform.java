package org.pimentovale.gateway.warmup;

import org.pimentovale.gateway.port.CallerDialect;
import org.pimentovale.gateway.port.EndpointDialect;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.ObjectSource;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.port.StageDialect;
import org.pimentovale.store.http.TimedHttpClient;

/** Combines the real platform's wire formats with the warm-up's store. Not thread safe; used on one event loop. */
final class JitWarmupPlatform implements ServingPlatform {
    private final ServingPlatform delegate;
    private final JitWarmupStore store;

    JitWarmupPlatform(ServingPlatform delegate, JitWarmupStore store) {
        this.delegate = delegate;
        this.store = store;
    }

    @Override
    public String name() {
        return delegate.name();
    }

    @Override
    public ObjectSource objects(TimedHttpClient client, String address) {
        return store;
    }

    @Override
    public ObjectReader reader() {
        return store;
    }

    @Override
    public CallerDialect callers() {
        return delegate.callers();
    }

    @Override
    public EndpointDialect endpoints() {
        return delegate.endpoints();
    }

    @Override
    public StageDialect stages() {
        return delegate.stages();
    }
}
