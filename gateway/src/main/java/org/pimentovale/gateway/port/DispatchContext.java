package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;

/**
 * What a gateway adds to a request on its way to an endpoint.
 *
 * @param endpointId the endpoint that must run it
 * @param remainingMs the time that is left, in milliseconds
 * @param workspace the caller's workspace
 * @param stageResults the results that the request takes, empty where its route has no stages
 */
public record DispatchContext(
        String endpointId, long remainingMs, Optional<String> workspace, Optional<List<String>> stageResults) {}
