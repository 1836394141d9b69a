package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;

/**
 * What a gateway adds to a request on its way to an endpoint.
 *
 * @param endpointId the endpoint that must run it
 * @param leftMs the time that is left, in milliseconds
 * @param workspace the caller's workspace
 * @param stageResults the results that the request takes, empty where its route has no stages
 * @param cacheSource the address of an endpoint that keeps more of the prompt
 * @param lastEventId the event behind which a stream goes on
 */
public record Dispatch(
        String endpointId,
        long leftMs,
        Optional<String> workspace,
        Optional<List<String>> stageResults,
        Optional<String> cacheSource,
        Optional<String> lastEventId) {}
