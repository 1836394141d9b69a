package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;

/** Encodes requests to endpoints and decodes the heads of responses. Implementations are stateless and thread safe. */
public interface EndpointCodec {
    /**
     * Returns the headers of a request to an endpoint.
     *
     * @param callerHeaders the headers of the caller's request
     * @param context the values that the gateway adds
     * @return the caller's headers without those reserved for the gateway, plus the gateway's headers
     */
    MultiMap requestHeaders(MultiMap callerHeaders, DispatchContext context);

    /**
     * Returns the headers of a response to a caller.
     *
     * @param endpointHeaders the headers of the endpoint's response
     * @return the same headers without the hop-by-hop headers
     */
    MultiMap responseHeaders(MultiMap endpointHeaders);

    /**
     * Decodes the head of a response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return the decoded head
     */
    ResponseHead readResponseHead(int status, MultiMap headers);

    /**
     * Encodes the headers of a sample successful response for the JIT warm-up.
     *
     * @param requestHeaders headers created by {@link #requestHeaders}
     * @return the headers
     */
    MultiMap sampleResponseHeaders(MultiMap requestHeaders);
}
