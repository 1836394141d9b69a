package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Implements {@code rollouts}: lists the roll-outs that gateways know, from their peer listeners. A gateway that does
 * not decide on a roll-out knows only the evidence that it has seen itself. Stateless and thread safe.
 */
public final class RolloutsCommand implements ToolCommand {
    private static final double MS_PER_SECOND = 1_000;

    @Override
    public String name() {
        return "rollouts";
    }

    @Override
    public String help() {
        return "roll-outs in progress; --instances names peer listeners of gateways";
    }

    @Override
    public ExitCode run(ToolSession session) {
        if (session.options().instances().isEmpty()) {
            throw ServingException.notRun(ErrorCode.COMMAND_LINE_INVALID, "rollouts needs --instances HOST:PORT,...");
        }
        return InstanceReport.print(
                session, address -> session.queryPeer(address, "/rollouts"), RolloutsCommand::format);
    }

    private static List<String> format(String address, JsonNode rollouts) {
        List<String> lines = new ArrayList<>();
        for (JsonNode rollout : rollouts) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%s  %s %s -> %s  state %s, phase %s, age %s of %s s, %s",
                    address,
                    text(rollout.path("service")),
                    StreamSupport.stream(rollout.path("from").spliterator(), false)
                            .map(JsonNode::asText)
                            .collect(Collectors.joining("+")),
                    text(rollout.path("to")),
                    text(rollout.path("state")),
                    text(rollout.path("phase")),
                    seconds(rollout.path("ageMs")),
                    seconds(rollout.path("deadlineMs")),
                    rollout.path("decider").asBoolean() ? "evidence of all gateways" : "evidence of this gateway"));
            rollout.path("evidence")
                    .forEach(route -> lines.add(String.format(
                            Locale.ROOT,
                            "    %-24s old %s, new %s",
                            text(route.path("route")),
                            counts(route.path("old")),
                            counts(route.path("new")))));
        }
        return lines.isEmpty() ? List.of(address + "  no roll-outs") : lines;
    }

    private static String counts(JsonNode side) {
        return text(side.path("sends")) + " sent " + text(side.path("good")) + " good " + text(side.path("bad"))
                + " bad";
    }

    private static String seconds(JsonNode milliseconds) {
        return milliseconds.isNumber()
                ? String.format(Locale.ROOT, "%.1f", milliseconds.asLong() / MS_PER_SECOND)
                : text(milliseconds);
    }

    /** Returns a field's text, or a dash for one that a gateway of another version does not send. */
    private static String text(JsonNode field) {
        return field.isValueNode() && !field.isNull() ? field.asText() : "-";
    }
}
