package org.pimentovale.tool;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.ServingPlatform;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.plugin.PluginRegistry;
import org.pimentovale.store.http.BodyLimit;
import org.pimentovale.store.http.TimedHttpClient;
import org.pimentovale.table.TablesFile;
import org.pimentovale.table.TablesReader;
import org.pimentovale.toml.TomlProblem;

/**
 * Reads configurations for a check, from a file in either form or from a running store.
 *
 * <p>A file that begins with a brace holds the platform's JSON form, any other the entry daemon's tables in TOML. Not
 * thread safe.
 */
final class ConfigurationSource {
    private final Vertx vertx;
    private final ServingPlatform platform;

    /**
     * A configuration with what is known of its endpoints.
     *
     * @param configuration the configuration
     * @param endpointCounts the number of endpoints by service, empty if they are not known
     */
    record Loaded(ServingConfiguration configuration, Map<String, Integer> endpointCounts) {}

    ConfigurationSource(Vertx vertx, PluginRegistry<ServingPlatform> platforms) {
        this.vertx = vertx;
        this.platform = platforms.get(platforms.names().iterator().next());
    }

    Loaded readFile(String file) {
        String text = readText(file);
        return text.stripLeading().startsWith("{") ? ofJson(file, text) : ofTables(file, text);
    }

    private static String readText(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException failure) {
            throw invalid(file + " cannot be read");
        }
    }

    private Loaded ofJson(String file, String text) {
        try {
            ServingConfiguration configuration =
                    platform.objectReader().configuration(Json.readTree(text.getBytes(StandardCharsets.UTF_8)));
            return new Loaded(configuration, Map.of());
        } catch (ServingException failure) {
            throw invalid(file + ": " + failure.getMessage());
        }
    }

    private static Loaded ofTables(String file, String text) {
        TablesFile tables = new TablesReader(file).read(text);
        if (!tables.problems().isEmpty()) {
            throw invalid(tables.problems().stream().map(TomlProblem::toString).collect(Collectors.joining("\n")));
        }
        long revision = tables.baseRevision().orElse(0L) + 1;
        return new Loaded(
                TablesAdapter.configuration(tables.tables(), revision), TablesAdapter.endpointCounts(tables.tables()));
    }

    private static ServingException invalid(String message) {
        return ServingException.notRun(ErrorCode.CONFIGURATION_INVALID, message);
    }

    /** Reads the configuration in force and the listed endpoints from the store of a running platform. */
    Future<Loaded> readStore(String address) {
        TimedHttpClient client = new TimedHttpClient(
                vertx, vertx.createHttpClient(), ErrorCode.STORE_UNAVAILABLE, BodyLimit.STORED_OBJECTS);
        PlatformStore store = platform.openStore(client, address, (kind, reason, name, detail) -> {});
        return list(store, ObjectKind.CONFIGURATION)
                .map(this::findConfiguration)
                .compose(configuration -> list(store, ObjectKind.ENDPOINTS)
                        .map(endpoints -> new Loaded(configuration, countEndpoints(endpoints))));
    }

    private ServingConfiguration findConfiguration(List<ObjectEntry> entries) {
        ObjectReader reader = platform.objectReader();
        return entries.stream()
                .filter(entry -> entry.name().equals(reader.configurationName()))
                .findFirst()
                .map(entry -> reader.configuration(entry.value().parse()))
                .orElseThrow(() -> invalid("the store holds no configuration"));
    }

    private static Future<List<ObjectEntry>> list(PlatformStore store, ObjectKind kind) {
        return list(store, kind, Optional.empty(), new ArrayList<>());
    }

    private static Future<List<ObjectEntry>> list(
            PlatformStore store, ObjectKind kind, Optional<String> after, List<ObjectEntry> listed) {
        return store.list(kind, after).compose(page -> {
            List<ObjectEntry> entries = page.certainEntries(entry -> false);
            listed.addAll(entries);
            return page.hasMore() && !entries.isEmpty()
                    ? list(
                            store,
                            kind,
                            Optional.of(entries.get(entries.size() - 1).name()),
                            listed)
                    : Future.succeededFuture(listed);
        });
    }

    private Map<String, Integer> countEndpoints(List<ObjectEntry> entries) {
        Map<String, Integer> counts = new HashMap<>();
        entries.forEach(entry -> count(entry, counts));
        return counts;
    }

    private void count(ObjectEntry entry, Map<String, Integer> counts) {
        ObjectReader reader = platform.objectReader();
        try {
            counts.merge(reader.endpoint(entry.name(), entry.value().parse()).service(), 1, Integer::sum);
        } catch (ServingException unusable) {
            // An entry of another writer names no endpoint; gateways skip it as well.
        }
    }
}
