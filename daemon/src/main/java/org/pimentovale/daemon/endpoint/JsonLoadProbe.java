package org.pimentovale.daemon.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.endpoint.LoadReport;

/** Parses {@code /v1/load}: {@code incarnation}, {@code in_flight} and {@code cold}. Stateless and thread safe. */
public final class JsonLoadProbe implements LoadProbe {
    @Override
    public String name() {
        return "json";
    }

    @Override
    public String path() {
        return "/v1/load";
    }

    @Override
    public LoadReport parse(int status, byte[] body) {
        // Any response shows that the endpoint is reachable, even if it reports no load.
        if (status != 200) {
            return new LoadReport("", 0, Optional.empty());
        }
        JsonNode report = Json.readTree(body);
        Optional<Boolean> cold =
                report.hasNonNull("cold") ? Optional.of(report.get("cold").asBoolean()) : Optional.empty();
        return new LoadReport(
                report.path("incarnation").asText(""),
                Math.max(0, report.path("in_flight").asInt(0)),
                cold);
    }
}
