package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.pimentovale.error.ServingException;

/** Asks every instance for the same thing and prints the answers. Stateless and thread safe. */
final class InstanceReport {
    private InstanceReport() {}

    static ExitCode print(ToolSession session, String path, BiFunction<String, JsonNode, List<String>> formatter) {
        Map<String, Object> responses = new LinkedHashMap<>();
        List<String> lines = new ArrayList<>();
        boolean complete = true;
        for (String address : session.operatorAddresses()) {
            try {
                JsonNode response = session.call(HttpMethod.GET, address, path, Buffer.buffer());
                responses.put(address, response);
                lines.addAll(formatter.apply(address, response));
            } catch (ServingException failure) {
                complete = false;
                responses.put(address, failure.getMessage());
                lines.add(address + "  does not answer: " + failure.getMessage());
            }
        }
        session.print(responses, lines);
        return complete ? ExitCode.DONE : ExitCode.UNAVAILABLE;
    }
}
