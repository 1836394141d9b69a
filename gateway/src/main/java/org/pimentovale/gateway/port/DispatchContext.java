package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;

/**
 * The values that a gateway adds to a request before it sends it to an endpoint.
 *
 * @param endpointId the endpoint that must run the request; any other must refuse it
 * @param remainingMs time until the request's deadline, in milliseconds
 * @param workspace the caller's workspace, empty if there is none
 * @param stageResults handles of the stage results that the request uses, empty if its route has no stages
 */
public record DispatchContext(
        String endpointId, long remainingMs, Optional<String> workspace, Optional<List<String>> stageResults) {}
