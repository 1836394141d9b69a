package org.pimentovale.daemon.caller;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * Writes one answer to a caller, as JSON or as server-sent events.
 *
 * <p>Invariant: a stream ends cleanly only after its {@code done} event; after a failure the connection is closed
 * without the end of the body, so that the caller's client sees it. Not thread safe; used on the request's event loop.
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

    /** One piece of text of a streamed answer. */
    private record Delta(String text) {}

    ResponseWriter(
            Vertx vertx, HttpServerResponse response, CallerRequest request, long stallTimeoutMs, Runnable onStall) {
        this.vertx = vertx;
        this.response = response;
        this.request = request;
        this.stallTimeoutMs = stallTimeoutMs;
        this.onStall = onStall;
    }

    /** Returns whether any part of the answer was passed to the caller. */
    boolean started() {
        return streamStarted;
    }

    /** Passes a piece of text on. */
    void writeDelta(String text) {
        if (ended || !request.streamed()) {
            return;
        }
        startStream();
        writeEvent("delta", Json.write(new Delta(text)));
    }

    /** Returns whether the caller reads more slowly than the answer comes. */
    boolean writeQueueFull() {
        return !ended && response.writeQueueFull();
    }

    /** Calls back once the caller has caught up; a caller that never does counts as gone. */
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

    /** Ends the answer of a caller that has left. */
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
