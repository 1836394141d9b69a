package org.pimentovale.gateway.port;

import org.pimentovale.plugin.Plugin;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Translates between the gateway and one platform: its store, its callers' and endpoints' headers, and its stage calls.
 * Implementations are stateless and thread safe.
 */
public interface ServingPlatform extends Plugin {
    /**
     * Opens the platform's store.
     *
     * @param client makes the calls
     * @param address the store's host and port
     * @return the store
     */
    PlatformStore openStore(TimedHttpClient client, String address);

    /**
     * Returns the reader of stored objects.
     *
     * @return the reader
     */
    ObjectReader objectReader();

    /**
     * Returns what callers speak.
     *
     * @return the dialect
     */
    CallerCodec callerCodec();

    /**
     * Returns what endpoints speak.
     *
     * @return the dialect
     */
    EndpointCodec endpointCodec();

    /**
     * Returns what endpoints speak that work on pieces.
     *
     * @return the dialect
     */
    StageCodec stageCodec();
}
