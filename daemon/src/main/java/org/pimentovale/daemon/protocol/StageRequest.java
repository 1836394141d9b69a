package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/**
 * A request to a stage. Thread safe provided that the map and the JSON trees are not modified.
 *
 * @param requestIdentifier identifier of the caller's request
 * @param attemptIdentifier identifier of request, stage and attempt, which endpoints echo
 * @param stage name of the stage
 * @param model model of the pool, empty for plain services
 * @param input body of the caller's request
 * @param results results of earlier stages by name
 * @param idempotencyKey idempotency key sent by the caller; empty for an idempotent stage
 * @param traceparent W3C trace context
 * @param urgency urgency of the request, for engines that support priorities
 * @param remainingMs time until the deadline in milliseconds
 */
public record StageRequest(
        String requestIdentifier,
        String attemptIdentifier,
        String stage,
        String model,
        JsonNode input,
        Map<String, JsonNode> results,
        Optional<String> idempotencyKey,
        Optional<String> traceparent,
        String urgency,
        long remainingMs) {}
