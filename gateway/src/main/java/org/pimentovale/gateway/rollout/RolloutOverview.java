package org.pimentovale.gateway.rollout;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.kernel.rollout.SideCounts;

/** Encodes what a gateway knows of roll-outs for the operators' tool. Stateless and thread safe. */
final class RolloutOverview {
    private RolloutOverview() {}

    /** Encodes all orders, with the evidence of all gateways where this one decides, and otherwise its own. */
    static byte[] encode(
            Collection<RolloutState> orders,
            GatewayTables tables,
            Function<RolloutState, EvidenceReport> ownEvidence,
            Function<String, ServiceDecider> deciders) {
        JsonArray overview = new JsonArray();
        for (RolloutState state : orders) {
            Optional<ServiceDecider> decider =
                    Optional.ofNullable(deciders.apply(state.order().service()));
            JsonArray evidence = decider.map(deciding -> collected(deciding.evidence()))
                    .orElseGet(() -> own(ownEvidence.apply(state)));
            overview.add(new JsonObject()
                    .put("service", state.order().service())
                    .put("from", new JsonArray(oldBuilds(state, tables)))
                    .put("to", state.order().identity().to())
                    .put("state", state.phase().state())
                    .put("phase", state.phase().name())
                    .put("ageMs", state.ageMs(tables.nowMs()))
                    .put("deadlineMs", state.order().identity().durationMs())
                    .put("decider", decider.isPresent())
                    .put("evidence", evidence));
        }
        return overview.toBuffer().getBytes();
    }

    private static List<String> oldBuilds(RolloutState state, GatewayTables tables) {
        TreeSet<String> builds = new TreeSet<>();
        tables.endpoints().ofService(state.order().service()).stream()
                .map(endpoint -> endpoint.latest().build())
                .filter(build -> !state.isNew(build))
                .forEach(builds::add);
        return List.copyOf(builds);
    }

    private static JsonArray collected(CollectedEvidence evidence) {
        JsonArray routes = new JsonArray();
        evidence.routes().forEach(route -> routes.add(encode(route, evidence.old(route), evidence.fresh(route))));
        return routes;
    }

    private static JsonArray own(EvidenceReport report) {
        JsonArray routes = new JsonArray();
        report.routes()
                .forEach(route -> routes.add(encode(
                        route.route(),
                        route.old(),
                        route.endpoints().values().stream().reduce(SideCounts.NONE, SideCounts::plus))));
        return routes;
    }

    private static JsonObject encode(String route, SideCounts old, SideCounts fresh) {
        return new JsonObject().put("route", route).put("old", encode(old)).put("new", encode(fresh));
    }

    private static JsonObject encode(SideCounts counts) {
        return new JsonObject()
                .put("sends", counts.sends())
                .put("good", counts.good())
                .put("bad", counts.bad());
    }
}
