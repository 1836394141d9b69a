package org.pimentovale.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.DoubleSupplier;

/** A streamed response of an engine stand-in. Not thread safe; used on the engine's event loop. */
final class EngineStream {
    private static final int NO_FAULT = -1;

    private final Vertx vertx;
    private final HttpServerResponse response;
    private final String identifier;
    private final EndpointProfile profile;
    private final JsonObject faults;
    private final DoubleSupplier loadFactor;
    private final Runnable finishHandler;
    private final int tokens;
    private boolean finished;
    private Runnable cancelHandler = () -> {};

    EngineStream(
            Vertx vertx,
            HttpServerRequest request,
            JsonObject body,
            EndpointProfile profile,
            JsonObject faults,
            DoubleSupplier loadFactor,
            Runnable finishHandler) {
        this.vertx = vertx;
        this.response = request.response();
        this.identifier = body.getString("user");
        this.profile = profile;
        this.faults = faults;
        this.loadFactor = loadFactor;
        this.finishHandler = finishHandler;
        this.tokens = Math.min(body.getInteger("max_tokens", profile.tokens()), profile.tokens());
    }

    void start(Runnable handler) {
        cancelHandler = handler;
        if (response.closed()) {
            cancel();
            return;
        }
        response.closeHandler(closed -> cancel());
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        writeToken(0);
    }

    private void cancel() {
        if (!finished) {
            finished = true;
            cancelHandler.run();
            finishHandler.run();
        }
    }

    private void writeToken(int position) {
        if (finished) {
            return;
        }
        if (position == faults.getInteger("silent_after", NO_FAULT)) {
            return;
        }
        if (position == faults.getInteger("truncate_after", NO_FAULT)) {
            end();
            return;
        }
        if (position == tokens) {
            writeEvent("", "stop");
            response.write("data: [DONE]\n\n");
            end();
            return;
        }
        writeEvent("word" + position + " ", null);
        long delayMs = Math.max(1, (long) (profile.tokenMs() * loadFactor.getAsDouble()));
        vertx.setTimer(delayMs, fired -> writeToken(position + 1));
    }

    private void end() {
        finished = true;
        response.end();
        finishHandler.run();
    }

    private void writeEvent(String text, String finishReason) {
        JsonObject choice = new JsonObject()
                .put("index", 0)
                .put("delta", new JsonObject().put("content", text))
                .put("finish_reason", finishReason);
        String eventIdentifier = faults.getBoolean("cross_events", false) ? "another-request" : identifier;
        JsonObject event = new JsonObject().put("id", eventIdentifier).put("choices", new JsonArray().add(choice));
        response.write("data: " + event.encode() + "\n\n");
    }
}
