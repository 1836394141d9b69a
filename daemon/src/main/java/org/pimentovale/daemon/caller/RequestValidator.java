package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.hash.Sha256;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.claim.IdempotencyKey;
import org.pimentovale.kernel.membership.RendezvousHash;
import org.pimentovale.table.Route;

/** Validates HTTP requests and converts them to {@link CallerRequest}s. Thread safe. */
final class RequestValidator {
    private static final int MAX_PREFIX_CHARACTERS = 256;
    private static final int MIN_PREFIX_CHARACTERS = 32;
    private static final Pattern WORKSPACE = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern TRACEPARENT = Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

    private final ServingTables tables;
    private final Clock wallClock;
    private final long keyRetentionMs;

    RequestValidator(ServingTables tables, Clock wallClock, int keyRetentionHours) {
        this.tables = tables;
        this.wallClock = wallClock;
        this.keyRetentionMs = TimeUnit.HOURS.toMillis(keyRetentionHours);
    }

    CallerRequest validate(HttpServerRequest http, String kind, String identifier, Buffer bytes, long arrivalMs) {
        Route route = tables.configuration()
                .active()
                .orElseThrow(() -> ServingException.notRun(ErrorCode.NOT_CONFIGURED, "no active revision"))
                .tables()
                .route(kind)
                .orElseThrow(() -> ServingException.notRun(ErrorCode.KIND_UNKNOWN, kind));
        JsonNode body = Json.readTree(bytes.getBytes());
        if (body == null || !body.isObject()) {
            throw ServingException.notRun(ErrorCode.MALFORMED_BODY, "not a JSON object");
        }
        String fingerprint = Sha256.hex((kind + "\n" + body).getBytes(StandardCharsets.UTF_8));
        return new CallerRequest(
                identifier,
                route,
                header(http, "Pimentovale-Workspace", WORKSPACE).orElse("default"),
                idempotencyKey(http, route),
                header(http, "traceparent", TRACEPARENT),
                body,
                fingerprint,
                prefixHash(body),
                String.valueOf(http.getHeader("Accept")).contains("text/event-stream"),
                arrivalMs + timeoutMs(http, route));
    }

    private static Optional<String> header(HttpServerRequest http, String name, Pattern allowed) {
        String value = http.getHeader(name);
        if (value != null && !allowed.matcher(value).matches()) {
            throw ServingException.notRun(ErrorCode.MALFORMED_HEADER, name);
        }
        return Optional.ofNullable(value);
    }

    private Optional<String> idempotencyKey(HttpServerRequest http, Route route) {
        Optional<IdempotencyKey> key =
                Optional.ofNullable(http.getHeader("Idempotency-Key")).map(IdempotencyKey::new);
        if (key.isPresent() && !key.get().wellFormed()) {
            throw ServingException.notRun(ErrorCode.MALFORMED_HEADER, "Idempotency-Key");
        }
        if (route.nonIdempotentStage().isPresent()) {
            if (key.isEmpty()) {
                throw ServingException.notRun(ErrorCode.KEY_MISSING, route.kind());
            }
            if (key.get().expired(wallClock.millis(), keyRetentionMs)) {
                throw ServingException.unknown(ErrorCode.KEY_EXPIRED, key.get().text());
            }
        }
        return key.map(IdempotencyKey::text);
    }

    private static int timeoutMs(HttpServerRequest http, Route route) {
        String requested = http.getHeader("Request-Timeout-Ms");
        if (requested == null) {
            return route.deadlineMs();
        }
        if (!requested.matches("\\d{1,8}") || Integer.parseInt(requested) == 0) {
            throw ServingException.notRun(ErrorCode.MALFORMED_HEADER, "Request-Timeout-Ms");
        }
        return Math.min(Integer.parseInt(requested), route.deadlineMs());
    }

    private static long prefixHash(JsonNode body) {
        String prompt = body.path("prompt").asText("");
        return prompt.length() < MIN_PREFIX_CHARACTERS
                ? 0
                : RendezvousHash.weight(
                        "prefix", prompt.substring(0, Math.min(MAX_PREFIX_CHARACTERS, prompt.length())));
    }
}
