package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Optional;

/**
 * What a stage is asked to do. The maps and trees must not be changed; then thread safe.
 *
 * @param requestIdentifier names the request
 * @param attemptIdentifier names request, stage and attempt; endpoints echo it
 * @param stage the stage's name
 * @param model the pool's model, empty for plain services
 * @param input the caller's body
 * @param results the results of earlier stages by their names
 * @param idempotencyKey the caller's key, for a stage that must not run twice
 * @param traceparent the W3C trace context
 * @param urgency the request's urgency, for engines that honour priorities
 * @param remainingMs time left before the deadline in milliseconds
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
