package org.pimentovale.gateway.warmup;

import org.pimentovale.gateway.port.CallerCodec;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.ObjectRejections;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.gateway.port.StageCodec;
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
    public PlatformStore openStore(TimedHttpClient client, String address, ObjectRejections rejections) {
        return store;
    }

    @Override
    public ObjectReader objectReader() {
        return store;
    }

    @Override
    public CallerCodec callerCodec() {
        return delegate.callerCodec();
    }

    @Override
    public EndpointCodec endpointCodec() {
        return delegate.endpointCodec();
    }

    @Override
    public StageCodec stageCodec() {
        return delegate.stageCodec();
    }
}
