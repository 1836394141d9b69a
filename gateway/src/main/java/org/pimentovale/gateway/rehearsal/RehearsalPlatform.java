package org.pimentovale.gateway.rehearsal;

import org.pimentovale.gateway.port.CallerCodec;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.port.StageCodec;
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
    public PlatformStore openStore(TimedHttpClient client, String address) {
        return store;
    }

    @Override
    public ObjectReader objectReader() {
        return store;
    }

    @Override
    public CallerCodec callerCodec() {
        return real.callerCodec();
    }

    @Override
    public EndpointCodec endpointCodec() {
        return real.endpointCodec();
    }

    @Override
    public StageCodec stageCodec() {
        return real.stageCodec();
    }
}
