package org.pimentovale.gateway.port;

import org.pimentovale.plugin.Plugin;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Adapts the gateway to a platform: its object store, the headers of callers and endpoints, and its stage calls.
 * Implementations are stateless and thread safe.
 */
public interface ServingPlatform extends Plugin {
    /**
     * Opens the platform's store.
     *
     * @param client sends the store's requests
     * @param address the store's host and port
     * @param rejections receives the objects that cannot be read
     * @return the store
     */
    PlatformStore openStore(TimedHttpClient client, String address, ObjectRejections rejections);

    /**
     * Returns the decoder of stored objects.
     *
     * @return the reader
     */
    ObjectReader objectReader();

    /**
     * Returns the codec for callers' requests.
     *
     * @return the codec
     */
    CallerCodec callerCodec();

    /**
     * Returns the codec for endpoints that run requests.
     *
     * @return the codec
     */
    EndpointCodec endpointCodec();

    /**
     * Returns the codec for endpoints that process pieces of stages.
     *
     * @return the codec
     */
    StageCodec stageCodec();
}
