package org.pimentovale.daemon.caller;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * Writes the response to one caller, as JSON or as server-sent events.
 *
 * <p>Invariant: a stream ends regularly only after its {@code done} event. After a failure the connection is closed
 * without the end of the body, so that the caller's HTTP client detects the truncation. Not thread safe; used on the
 * request's event loop.
 */
final class ResponseWriter {
    private static final long MS_PER_S = 1_000;

    private final Vertx vertx;
    private final HttpServerResponse response;
    private final CallerRequest request;
    private final long stallTimeoutMs;
    private final Runnable onStall;
    private boolean streamStarted;
    private boolean ended;
    private long stallTimer = -1;

    /** A piece of text of a streamed response. */
    private record Delta(String text) {}

    ResponseWriter(
            Vertx vertx, HttpServerResponse response, CallerRequest request, long stallTimeoutMs, Runnable onStall) {
        this.vertx = vertx;
        this.response = response;
        this.request = request;
        this.stallTimeoutMs = stallTimeoutMs;
        this.onStall = onStall;
    }

    /** Tells whether a part of a streamed response was sent to the caller. */
    boolean started() {
        return streamStarted;
    }

    /** Sends a piece of text, if the caller wants a stream and the response has not ended. */
    void writeDelta(String text) {
        if (ended || !request.streamed()) {
            return;
        }
        startStream();
        writeEvent("delta", Json.write(new Delta(text)));
    }

    /** Tells whether the write queue is full, since the caller reads more slowly than text arrives. */
    boolean writeQueueFull() {
        return !ended && response.writeQueueFull();
    }

    /**
     * Calls back when the write queue has drained. If it does not within the stall timeout, the caller is treated as
     * disconnected.
     */
    void onDrained(Runnable resume) {
        cancelStallTimer();
        stallTimer = vertx.setTimer(stallTimeoutMs, fired -> onStall.run());
        response.drainHandler(drained -> {
            cancelStallTimer();
            resume.run();
        });
    }

    void complete(int status, Map<String, com.fasterxml.jackson.databind.JsonNode> results) {
        if (ended) {
            return;
        }
        ended = true;
        var lastResult =
                results.values().stream().reduce((left, right) -> right).orElse(request.body());
        byte[] body = Json.write(
                new PipelineResponse(request.identifier(), request.route().kind(), lastResult, results));
        if (request.streamed()) {
            startStream();
            writeEvent("done", body);
            response.end();
            return;
        }
        response.setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Id", request.identifier())
                .end(Buffer.buffer(body));
    }

    void fail(ServingException failure, long retryAfterMs) {
        if (ended) {
            return;
        }
        ended = true;
        if (response.closed()) {
            return;
        }
        if (streamStarted) {
            writeEvent("error", Json.write(ProblemDetails.of(failure, request.identifier())));
            response.reset();
            return;
        }
        writeProblem(response, failure, request.identifier(), retryAfterMs);
    }

    /** Resets the response after the caller has disconnected. */
    void abandon() {
        ended = true;
        cancelStallTimer();
        if (!response.closed() && !response.ended()) {
            response.reset();
        }
    }

    private void cancelStallTimer() {
        if (stallTimer >= 0) {
            vertx.cancelTimer(stallTimer);
            stallTimer = -1;
        }
    }

    static void writeProblem(
            HttpServerResponse response, ServingException failure, String requestIdentifier, long retryAfterMs) {
        if (response.closed() || response.ended()) {
            return;
        }
        int status = failure.code().status();
        response.setStatusCode(status)
                .putHeader("Content-Type", ProblemDetails.MEDIA_TYPE)
                .putHeader("X-Request-Id", requestIdentifier);
        if (retryAfterMs > 0) {
            response.putHeader("Retry-After", Long.toString((retryAfterMs + MS_PER_S - 1) / MS_PER_S));
        }
        response.end(Buffer.buffer(Json.write(ProblemDetails.of(failure, requestIdentifier))));
    }

    private void startStream() {
        if (streamStarted) {
            return;
        }
        streamStarted = true;
        response.setChunked(true)
                .setStatusCode(200)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader("X-Request-Id", request.identifier());
    }

    private void writeEvent(String name, byte[] data) {
        response.write(
                Buffer.buffer("event: " + name + "\ndata: ").appendBytes(data).appendString("\n\n"));
    }
}
