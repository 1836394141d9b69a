package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Implements {@code endpoints show}: lists the endpoints as seen by each instance. Stateless and thread safe. */
public final class EndpointsShowCommand implements ToolCommand {
    @Override
    public String name() {
        return "endpoints show";
    }

    @Override
    public String help() {
        return "each endpoint's state and reason, as each instance sees it";
    }

    @Override
    public ExitCode run(ToolSession session) {
        return InstanceReport.print(session, "/v1/endpoints", (address, views) -> {
            List<String> lines = new ArrayList<>(List.of("as seen by " + address));
            for (JsonNode view : views) {
                lines.add(String.format(
                        "  %-14s %-22s zone %-14s %-14s in flight %d, total %d",
                        view.path("pool").asText(),
                        view.path("address").asText(),
                        view.path("zone").asText(),
                        view.path("state").asText(),
                        view.path("in_flight").asInt(),
                        view.path("total_in_flight").asInt()));
            }
            return lines;
        });
    }
}
