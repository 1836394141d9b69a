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

    static ExitCode print(
            ToolSession session, String path, BiFunction<String, JsonNode, List<String>> linesOfInstance) {
        Map<String, Object> answers = new LinkedHashMap<>();
        List<String> lines = new ArrayList<>();
        boolean complete = true;
        for (String address : session.operatorAddresses()) {
            try {
                JsonNode answer = session.call(HttpMethod.GET, address, path, Buffer.buffer());
                answers.put(address, answer);
                lines.addAll(linesOfInstance.apply(address, answer));
            } catch (ServingException failure) {
                complete = false;
                answers.put(address, failure.getMessage());
                lines.add(address + "  does not answer: " + failure.getMessage());
            }
        }
        session.print(answers, lines);
        return complete ? ExitCode.DONE : ExitCode.UNAVAILABLE;
    }
}
