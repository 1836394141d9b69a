package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.pimentovale.error.ServingException;

/**
 * Sends the same request to every instance and prints the responses. An instance that cannot be reached is reported as
 * such and does not stop the others from being queried. Stateless and thread safe.
 */
final class InstanceReport {
    private InstanceReport() {}

    /** Queries the operators' listeners. */
    static ExitCode print(ToolSession session, String path, BiFunction<String, JsonNode, List<String>> formatter) {
        return print(session, address -> session.call(HttpMethod.GET, address, path, Buffer.buffer()), formatter);
    }

    /** Queries the listeners that {@code query} calls by their address. */
    static ExitCode print(
            ToolSession session,
            Function<String, JsonNode> query,
            BiFunction<String, JsonNode, List<String>> formatter) {
        Map<String, Object> responses = new LinkedHashMap<>();
        List<String> lines = new ArrayList<>();
        boolean complete = true;
        for (String address : session.operatorAddresses()) {
            try {
                JsonNode response = query.apply(address);
                responses.put(address, response);
                lines.addAll(formatter.apply(address, response));
            } catch (ServingException failure) {
                complete = false;
                responses.put(address, failure.getMessage());
                lines.add(address + "  request failed: " + failure.getMessage());
            }
        }
        session.print(responses, lines);
        return complete ? ExitCode.DONE : ExitCode.UNAVAILABLE;
    }
}
