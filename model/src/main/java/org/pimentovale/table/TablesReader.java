package org.pimentovale.table;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pimentovale.toml.TomlProblem;
import org.pimentovale.toml.TomlSection;

/** Reads and validates the operators' tables in TOML. Not thread safe; use one reader for each file. */
public final class TablesReader {
    private static final int ONE_DAY_MS = 86_400_000;
    private static final int MAX_LIMIT = 100_000;

    private final String file;
    private final List<TomlProblem> problems = new ArrayList<>();

    /**
     * Creates a reader.
     *
     * @param file the file's name, used in messages
     */
    public TablesReader(String file) {
        this.file = file;
    }

    /**
     * Reads a file of tables.
     *
     * @param text the TOML text
     * @return the tables and all problems found; the tables must not be used if there are problems
     */
    public TablesFile read(String text) {
        Optional<Long> base = Optional.empty();
        List<Pool> pools = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        try (TomlSection root = TomlSection.parse(file, text, problems)) {
            int revision = root.number("revision", 0, 0, Integer.MAX_VALUE);
            base = revision == 0 ? Optional.empty() : Optional.of((long) revision);
            root.sections("pool").forEach(section -> pools.add(readPool(section)));
            Set<String> names = pools.stream().map(Pool::name).collect(Collectors.toSet());
            root.sections("route").forEach(section -> routes.add(readRoute(section, names)));
            reportDuplicates(root, "pool", pools.stream().map(Pool::name).toList());
            reportDuplicates(root, "route", routes.stream().map(Route::kind).toList());
        }
        return new TablesFile(base, new Tables(List.copyOf(routes), List.copyOf(pools)), List.copyOf(problems));
    }

    private void reportDuplicates(TomlSection root, String key, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                root.report(key, name, "a unique name");
            }
        }
    }

    private Pool readPool(TomlSection section) {
        try (section) {
            int limit = section.number("limit", 0, 1, MAX_LIMIT);
            return new Pool(
                    section.text("name"),
                    section.optionalText("protocol").orElse("service"),
                    section.optionalText("model").orElse(""),
                    limit,
                    section.number("cold_limit", limit, 1, Math.max(1, limit)),
                    section.number("warm_after_requests", 1, 1, MAX_LIMIT),
                    section.number("warm_after_ms", 0, 0, ONE_DAY_MS),
                    section.number("progress_timeout_ms", 2_000, 10, ONE_DAY_MS),
                    section.number("expected_ms", 50, 1, ONE_DAY_MS),
                    section.flag("checks_fencing", false),
                    List.copyOf(section.numbers("refusal_statuses")),
                    readEndpoints(section));
        }
    }

    private List<Endpoint> readEndpoints(TomlSection section) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (TomlSection entry : section.sections("endpoint")) {
            try (entry) {
                String address = entry.text("address");
                if (!address.isEmpty() && !address.matches("[^:\\s]+:\\d{1,5}")) {
                    entry.report("address", address, "host:port");
                }
                endpoints.add(new Endpoint(address, entry.text("zone")));
            }
        }
        if (endpoints.isEmpty()) {
            section.report("endpoint", "nothing", "at least one endpoint");
        }
        reportDuplicates(
                section, "endpoint", endpoints.stream().map(Endpoint::address).toList());
        return List.copyOf(endpoints);
    }

    private Route readRoute(TomlSection section, Set<String> pools) {
        try (section) {
            String kind = section.text("kind");
            int deadlineMs = section.number("deadline_ms", 0, 1, ONE_DAY_MS);
            Urgency urgency = readUrgency(section);
            List<Stage> stages = new ArrayList<>();
            for (TomlSection entry : section.sections("stage")) {
                stages.add(readStage(entry, pools));
            }
            if (stages.isEmpty()) {
                section.report("stage", "nothing", "at least one stage");
            }
            if (stages.stream().filter(stage -> !stage.idempotent()).count() > 1) {
                section.report("stage", "several stages that are not idempotent", "at most one");
            }
            reportDuplicates(section, "stage", stages.stream().map(Stage::name).toList());
            return new Route(kind, deadlineMs, urgency, List.copyOf(stages));
        }
    }

    private Stage readStage(TomlSection entry, Set<String> pools) {
        try (entry) {
            String pool = entry.text("pool");
            if (!pool.isEmpty() && !pools.contains(pool)) {
                entry.report(
                        "pool",
                        pool,
                        "a pool of this file: " + pools.stream().sorted().toList());
            }
            return new Stage(entry.optionalText("name").orElse(pool), pool, entry.flag("idempotent", true));
        }
    }

    private Urgency readUrgency(TomlSection section) {
        String text = section.optionalText("urgency").orElse("interactive");
        return Arrays.stream(Urgency.values())
                .filter(urgency -> urgency.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseGet(() -> {
                    section.report("urgency", text, "urgent, interactive or patient");
                    return Urgency.INTERACTIVE;
                });
    }
}
