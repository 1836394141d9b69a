package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.pimentovale.table.Route;

/**
 * A caller's request after validation. The body must not be changed; then thread safe.
 *
 * @param identifier names the request in logs and answers
 * @param route the route of its kind, from the configuration that was in force on arrival
 * @param workspace the customer's workspace
 * @param idempotencyKey the caller's key
 * @param traceparent the W3C trace context
 * @param body the caller's JSON object
 * @param fingerprint digest of kind and body
 * @param prefixHash hash of the prompt's prefix, zero for none
 * @param streamed whether the caller wants server-sent events
 * @param deadlineAtMs the end of its time on the monotonic clock
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
