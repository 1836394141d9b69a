package org.pimentovale.kernel.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.serving.ServingWorkspace;

/** Lists what differs between two configurations, by route, service and workspace. Stateless and thread safe. */
public final class ConfigurationDifference {
    private static final List<Field<ServingRoute>> ROUTE_FIELDS = List.of(
            new Field<>("name", ServingRoute::name),
            new Field<>("kind", ServingRoute::kind),
            new Field<>("timeout_ms", ServingRoute::timeoutMs),
            new Field<>("goal_ms", ServingRoute::goalMs),
            new Field<>("priority", ServingRoute::priority),
            new Field<>("services", ServingRoute::services),
            new Field<>("attempts", ServingRoute::maximumEndpoints),
            new Field<>("stages", ServingRoute::stages),
            new Field<>("open", ServingRoute::open),
            new Field<>("resumable", ServingRoute::resumable));
    private static final List<Field<ServingService>> SERVICE_FIELDS = List.of(
            new Field<>("cold_requests_per_s", ServingService::coldRequestsPerSecond),
            new Field<>("pieces", ServingService::pieces),
            new Field<>("memory_tokens", ServingService::memoryTokens));
    // Keys are secrets, so only their number is shown.
    private static final List<Field<ServingWorkspace>> WORKSPACE_FIELDS =
            List.of(new Field<>("priority", ServingWorkspace::priority));

    private ConfigurationDifference() {}

    /** A part of an entry that is compared and shown. */
    private record Field<T>(String name, Function<T, Object> value) {}

    /**
     * Compares two configurations.
     *
     * @param before the version in force
     * @param after the version to be applied
     * @return a finding for each entry that was added or removed, and for each changed part of an entry
     */
    public static List<ConfigurationFinding> between(ServingConfiguration before, ServingConfiguration after) {
        List<ConfigurationFinding> changes = new ArrayList<>();
        if (after.version() <= before.version()) {
            changes.add(new ConfigurationFinding(
                    FindingKind.ERROR,
                    "version",
                    after.version() + " is not later than the version in force, " + before.version()));
        }
        if (!before.limits().equals(after.limits())) {
            changes.add(change("limits", before.limits() + " -> " + after.limits()));
        }
        compare(
                changes,
                "route ",
                route -> route.host() + route.pathPrefix(),
                ROUTE_FIELDS,
                before.routes(),
                after.routes());
        compare(changes, "service ", ServingService::name, SERVICE_FIELDS, before.services(), after.services());
        compare(
                changes,
                "workspace ",
                ServingWorkspace::name,
                WORKSPACE_FIELDS,
                before.workspaces(),
                after.workspaces());
        compareKeys(changes, before.workspaces(), after.workspaces());
        return List.copyOf(changes);
    }

    private static ConfigurationFinding change(String place, String message) {
        return new ConfigurationFinding(FindingKind.CHANGE, place, message);
    }

    private static <T> void compare(
            List<ConfigurationFinding> changes,
            String label,
            Function<T, String> key,
            List<Field<T>> fields,
            Collection<T> before,
            Collection<T> after) {
        Map<String, T> old = index(before, key);
        Map<String, T> changed = index(after, key);
        Set<String> names = new LinkedHashSet<>(old.keySet());
        names.addAll(changed.keySet());
        for (String name : names) {
            if (!old.containsKey(name)) {
                changes.add(change(label + name, "added"));
            } else if (!changed.containsKey(name)) {
                changes.add(change(label + name, "removed"));
            } else {
                compareFields(changes, label + name, fields, old.get(name), changed.get(name));
            }
        }
    }

    private static <T> void compareFields(
            List<ConfigurationFinding> changes, String place, List<Field<T>> fields, T before, T after) {
        for (Field<T> field : fields) {
            Object old = field.value().apply(before);
            Object changed = field.value().apply(after);
            if (!Objects.equals(old, changed)) {
                changes.add(change(place, field.name() + ": " + old + " -> " + changed));
            }
        }
    }

    private static void compareKeys(
            List<ConfigurationFinding> changes, List<ServingWorkspace> before, List<ServingWorkspace> after) {
        Map<String, ServingWorkspace> old = index(before, ServingWorkspace::name);
        for (ServingWorkspace workspace : after) {
            ServingWorkspace known = old.get(workspace.name());
            if (known == null || Set.copyOf(known.keys()).equals(Set.copyOf(workspace.keys()))) {
                continue;
            }
            long added = workspace.keys().stream()
                    .filter(key -> !known.keys().contains(key))
                    .count();
            long removed = known.keys().stream()
                    .filter(key -> !workspace.keys().contains(key))
                    .count();
            changes.add(change("workspace " + workspace.name(), "keys: " + added + " added, " + removed + " removed"));
        }
    }

    private static <T> Map<String, T> index(Collection<T> entries, Function<T, String> key) {
        Map<String, T> byKey = new LinkedHashMap<>();
        entries.forEach(entry -> byKey.putIfAbsent(key.apply(entry), entry));
        return byKey;
    }
}
