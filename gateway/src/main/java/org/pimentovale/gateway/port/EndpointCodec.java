package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;

/** Encodes requests to endpoints and decodes the heads of their answers. Implementations are stateless, thread safe. */
public interface EndpointCodec {
    /**
     * Returns the headers of a request to an endpoint.
     *
     * @param callerHeaders what the caller sent
     * @param context what the gateway adds
     * @return the caller's headers without those that only a gateway may set, and the gateway's
     */
    MultiMap requestHeaders(MultiMap callerHeaders, DispatchContext context);

    /**
     * Returns the headers of an answer to a caller.
     *
     * @param endpointHeaders what the endpoint sent
     * @return the same headers without those that concern one connection
     */
    MultiMap responseHeaders(MultiMap endpointHeaders);

    /**
     * Decodes the head of an answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return what they say
     */
    ResponseHead readResponseHead(int status, MultiMap headers);

    /**
     * Encodes the headers of an endpoint's made-up good answer, for a rehearsal.
     *
     * @param requestHeaders the headers that {@link #requestHeaders} made
     * @return the headers
     */
    MultiMap sampleResponseHeaders(MultiMap requestHeaders);
}
