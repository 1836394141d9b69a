package org.pimentovale.gateway.warmup;

import org.pimentovale.gateway.port.CallerDialect;
import org.pimentovale.gateway.port.EndpointDialect;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.ObjectSource;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.port.StageDialect;
import org.pimentovale.store.http.TimedHttpClient;

/** The real platform's dialects with the store of a rehearsal. Not thread safe; used on one event loop. */
final class RehearsalPlatform implements ServingPlatform {
    private final ServingPlatform real;
    private final RehearsalStore store;

    RehearsalPlatform(ServingPlatform real, RehearsalStore store) {
        this.real = real;
        this.store = store;
    }

    @Override
    public String name() {
        return real.name();
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
        return real.callers();
    }

    @Override
    public EndpointDialect endpoints() {
        return real.endpoints();
    }

    @Override
    public StageDialect stages() {
        return real.stages();
    }
}
