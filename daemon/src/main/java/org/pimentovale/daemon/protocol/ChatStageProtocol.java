package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.response.BodyFraming;

/** Calls a model engine through streamed chat completions. Stateless and thread safe. */
public final class ChatStageProtocol implements StageProtocol {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String DATA_FIELD = "data:";
    private static final String TERMINAL_EVENT = "[DONE]";

    /** A chat message. */
    private record Message(String role, String content) {}

    /** The JSON body of a call. */
    private record Call(
            String model, boolean stream, String user, String priority, int maxTokens, List<Message> messages) {}

    /**
     * Reads server-sent events until the terminal event.
     *
     * <p>Invariant: everything after the terminal event is ignored.
     */
    private static final class EventStreamReader implements ResponseReader {
        private final StageRequest request;
        private final int status;
        private final Consumer<String> deltaHandler;
        private final StringBuilder text = new StringBuilder();
        private final RecordParser lines;
        private boolean terminated;
        private boolean finishReasonSeen;

        private EventStreamReader(StageRequest request, int status, Consumer<String> deltaHandler) {
            this.request = request;
            this.status = status;
            this.deltaHandler = deltaHandler;
            this.lines = RecordParser.newDelimited("\n", this::acceptLine).maxRecordSize(MAX_EVENT_BYTES);
        }

        @Override
        public void accept(Buffer chunk) {
            lines.handle(chunk);
        }

        private void acceptLine(Buffer line) {
            String content = line.toString(StandardCharsets.UTF_8).strip();
            if (terminated || !content.startsWith(DATA_FIELD)) {
                return;
            }
            String data = content.substring(DATA_FIELD.length()).strip();
            if (data.equals(TERMINAL_EVENT)) {
                terminated = true;
                return;
            }
            JsonNode event = readEvent(data);
            if (event.hasNonNull("error")) {
                throw ServingException.unknown(
                        ErrorCode.ENDPOINT_FAILED, event.get("error").toString());
            }
            String echoedIdentifier = event.path("id").asText(request.attemptIdentifier());
            if (!echoedIdentifier.equals(request.attemptIdentifier())) {
                throw ServingException.unknown(ErrorCode.ANSWER_MISMATCHED, "unexpected event of " + echoedIdentifier);
            }
            JsonNode choice = event.path("choices").path(0);
            finishReasonSeen |= choice.hasNonNull("finish_reason");
            String delta = choice.path("delta").path("content").asText("");
            if (!delta.isEmpty()) {
                text.append(delta);
                deltaHandler.accept(delta);
            }
        }

        private static JsonNode readEvent(String data) {
            try {
                return Json.readTree(data.getBytes(StandardCharsets.UTF_8));
            } catch (ServingException malformed) {
                throw ServingException.unknown(ErrorCode.STREAM_TRUNCATED, "an event is not JSON");
            }
        }

        @Override
        public boolean terminated() {
            return terminated;
        }

        @Override
        public StageResult finish(BodyFraming framing, boolean requestWritten) {
            // The terminal event marks the end of the response, whatever marks that of its body.
            if (!terminated || !finishReasonSeen) {
                throw ServingException.unknown(ErrorCode.STREAM_TRUNCATED, "terminal event or finish reason missing");
            }
            return new StageResult(status, JsonNodeFactory.instance.objectNode().put("text", text.toString()));
        }
    }

    @Override
    public String name() {
        return "chat";
    }

    @Override
    public String path(StageRequest request) {
        return "/v1/chat/completions";
    }

    @Override
    public byte[] body(StageRequest request) {
        String prompt = request.input().path("prompt").asText(request.input().toString());
        List<Message> messages = request.results().isEmpty()
                ? List.of(new Message("user", prompt))
                : List.of(
                        new Message("system", new String(Json.write(request.results()), StandardCharsets.UTF_8)),
                        new Message("user", prompt));
        return Json.write(new Call(
                request.model(),
                true,
                request.attemptIdentifier(),
                request.urgency(),
                request.input().path("max_tokens").asInt(256),
                messages));
    }

    @Override
    public ResponseReader createReader(StageRequest request, int status, Consumer<String> deltaHandler) {
        return new EventStreamReader(request, status, deltaHandler);
    }
}
