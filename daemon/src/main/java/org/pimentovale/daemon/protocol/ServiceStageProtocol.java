package org.pimentovale.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.function.Consumer;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.response.ResponseEnd;
import org.pimentovale.response.BodyFraming;

/** Calls a plain service that takes and returns one JSON object. Stateless and thread safe. */
public final class ServiceStageProtocol implements StageProtocol {
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    /** The JSON body of a call. */
    private record Call(String requestId, String stage, JsonNode input, Map<String, JsonNode> results) {}

    /** Buffers the body up to the maximum size. */
    private static final class JsonResponseReader implements ResponseReader {
        private final int status;
        private final Buffer body = Buffer.buffer();

        private JsonResponseReader(int status) {
            this.status = status;
        }

        @Override
        public void accept(Buffer chunk) {
            if (body.length() + chunk.length() > MAX_RESPONSE_BYTES) {
                throw ServingException.unknown(
                        ErrorCode.ENDPOINT_FAILED, "response exceeds the maximum size in bytes: " + MAX_RESPONSE_BYTES);
            }
            body.appendBuffer(chunk);
        }

        @Override
        public boolean terminated() {
            return false;
        }

        @Override
        public StageResult finish(BodyFraming framing, boolean requestWritten) {
            ResponseEnd end = ResponseEnd.judgeJson(framing, requestWritten, body::getBytes);
            if (end != ResponseEnd.WHOLE) {
                throw ServingException.unknown(ErrorCode.STREAM_TRUNCATED, end.description());
            }
            try {
                return new StageResult(status, Json.readTree(body.getBytes()));
            } catch (ServingException malformed) {
                throw ServingException.unknown(ErrorCode.STREAM_TRUNCATED, "the service's response is not JSON");
            }
        }
    }

    @Override
    public String name() {
        return "service";
    }

    @Override
    public String path(StageRequest request) {
        return "/v1/stages/" + request.stage();
    }

    @Override
    public byte[] body(StageRequest request) {
        return Json.write(new Call(request.requestIdentifier(), request.stage(), request.input(), request.results()));
    }

    @Override
    public ResponseReader createReader(StageRequest request, int status, Consumer<String> deltaHandler) {
        return new JsonResponseReader(status);
    }
}
