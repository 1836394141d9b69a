package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.pimentovale.table.Route;

/**
 * A validated request of a caller. Thread safe provided that the body is not modified.
 *
 * @param identifier identifier of the request in logs and responses
 * @param route route of the request's kind, from the configuration that was active on arrival
 * @param workspace workspace of the customer
 * @param idempotencyKey idempotency key sent by the caller
 * @param traceparent W3C trace context sent by the caller
 * @param body JSON object sent by the caller
 * @param fingerprint SHA-256 digest of kind and body, hexadecimal
 * @param prefixHash hash of the prompt's prefix, zero if the prompt is too short
 * @param streamed whether the caller accepts server-sent events
 * @param deadlineAtMs deadline in milliseconds on the monotonic clock
 */
public record CallerRequest(
        String identifier,
        Route route,
        String workspace,
        Optional<String> idempotencyKey,
        Optional<String> traceparent,
        JsonNode body,
        String fingerprint,
        long prefixHash,
        boolean streamed,
        long deadlineAtMs) {}
