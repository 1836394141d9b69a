package org.pimentovale.tool;

import java.util.List;

/** Implements {@code instances show}: lists the state of each instance. Stateless and thread safe. */
public final class InstancesShowCommand implements ToolCommand {
    @Override
    public String name() {
        return "instances show";
    }

    @Override
    public String help() {
        return "each instance's active revision, readiness and load";
    }

    @Override
    public ExitCode run(ToolSession session) {
        return InstanceReport.print(
                session,
                "/v1/instance",
                (address, view) -> List.of(String.format(
                        "%-22s %-24s zone %-14s revision %-5d %-20s running %d",
                        address,
                        view.path("self").path("name").asText(),
                        view.path("self").path("zone").asText(),
                        view.path("revision").asLong(),
                        view.path("reason").asText(),
                        view.path("running").asInt())));
    }
}
