package org.pimentovale.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.DoubleSupplier;

/** One streamed answer of an engine. Not thread safe; used on the engine's event loop. */
final class EngineStream {
    private static final int NO_FAULT = -1;

    private final Vertx vertx;
    private final HttpServerResponse response;
    private final String identifier;
    private final EndpointModel model;
    private final JsonObject faults;
    private final DoubleSupplier loadFactor;
    private final Runnable whenFinished;
    private final int tokens;
    private boolean finished;
    private Runnable whenCancelled = () -> {};

    EngineStream(
            Vertx vertx,
            HttpServerRequest request,
            JsonObject body,
            EndpointModel model,
            JsonObject faults,
            DoubleSupplier loadFactor,
            Runnable whenFinished) {
        this.vertx = vertx;
        this.response = request.response();
        this.identifier = body.getString("user");
        this.model = model;
        this.faults = faults;
        this.loadFactor = loadFactor;
        this.whenFinished = whenFinished;
        this.tokens = Math.min(body.getInteger("max_tokens", model.tokens()), model.tokens());
    }

    void start(Runnable cancelled) {
        whenCancelled = cancelled;
        if (response.closed()) {
            cancel();
            return;
        }
        response.closeHandler(closed -> cancel());
        response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        write(0);
    }

    private void cancel() {
        if (!finished) {
            finished = true;
            whenCancelled.run();
            whenFinished.run();
        }
    }

    private void write(int position) {
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
            event("", "stop");
            response.write("data: [DONE]\n\n");
            end();
            return;
        }
        event("word" + position + " ", null);
        long delayMs = Math.max(1, (long) (model.tokenMs() * loadFactor.getAsDouble()));
        vertx.setTimer(delayMs, fired -> write(position + 1));
    }

    private void end() {
        finished = true;
        response.end();
        whenFinished.run();
    }

    private void event(String text, String finishReason) {
        JsonObject choice = new JsonObject()
                .put("index", 0)
                .put("delta", new JsonObject().put("content", text))
                .put("finish_reason", finishReason);
        String crossed = faults.getBoolean("cross_events", false) ? "another-request" : identifier;
        JsonObject event = new JsonObject().put("id", crossed).put("choices", new JsonArray().add(choice));
        response.write("data: " + event.encode() + "\n\n");
    }
}
