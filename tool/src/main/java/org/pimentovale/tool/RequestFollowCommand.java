package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Implements {@code request follow}: prints the latest events of one request from all instances. Stateless and thread
 * safe.
 */
public final class RequestFollowCommand implements ToolCommand {
    @Override
    public String name() {
        return "request follow";
    }

    @Override
    public String help() {
        return "IDENTIFIER: the latest events of one request";
    }

    @Override
    public ExitCode run(ToolSession session) {
        return InstanceReport.print(session, "/v1/requests/" + session.operand(), (address, events) -> {
            List<String> lines = new ArrayList<>();
            for (JsonNode event : events) {
                lines.add(address + "  " + event.asText());
            }
            return lines;
        });
    }
}
