package org.pimentovale.tool;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.plugin.PluginRegistry;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.Platform;
import org.pimentovale.store.PlatformPlugin;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.change.ConfigurationEdit;
import org.pimentovale.store.change.ConfigurationEditor;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.TablesFile;
import org.pimentovale.table.TablesReader;
import org.pimentovale.toml.TomlProblem;

/**
 * One run of the tool: its options, its way to the platform and to the instances, and its output. Not thread safe.
 */
public final class ToolSession {
    private static final int CALL_TIMEOUT_MS = 1_000;
    private static final int REPEAT_MS = 200;
    private static final int LONGEST_WAIT_S = 120;

    private final Vertx vertx;
    private final ToolOptions options;
    private final PrintStream output;
    private final HttpClient client;

    ToolSession(Vertx vertx, ToolOptions options, PrintStream output) {
        this.vertx = vertx;
        this.options = options;
        this.output = output;
        this.client = vertx.createHttpClient();
    }

    ToolOptions options() {
        return options;
    }

    /** Returns the word after the command's own two words. */
    String subject() {
        if (options.words().size() < 3) {
            throw ServingException.notRun(ErrorCode.PLUGIN_UNKNOWN, "the command needs one more word");
        }
        return options.words().get(2);
    }

    /** Prints a value as JSON, or lines for people. */
    void print(Object value, List<String> lines) {
        if (options.json()) {
            output.println(Json.writeIndented(value));
        } else {
            lines.forEach(output::println);
        }
    }

    Platform platform() {
        return new PluginRegistry<>(PlatformPlugin.class)
                .get(options.platformPlugin())
                .open(vertx, options.platformAddress(), CALL_TIMEOUT_MS);
    }

    ConfigurationEditor editor() {
        return new ConfigurationEditor(vertx, platform().objectStore(), options.repeats());
    }

    TablesFile tables() {
        String text;
        try {
            text = Files.readString(Path.of(options.file()));
        } catch (IOException failure) {
            throw ServingException.notRun(
                    ErrorCode.CONFIGURATION_INVALID, "--file " + options.file() + " cannot be read");
        }
        TablesFile file = new TablesReader(options.file()).read(text);
        if (!file.problems().isEmpty()) {
            throw ServingException.notRun(
                    ErrorCode.CONFIGURATION_INVALID,
                    file.problems().stream().map(TomlProblem::toString).collect(Collectors.joining("\n")));
        }
        return file;
    }

    <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(LONGEST_WAIT_S, TimeUnit.SECONDS);
        } catch (ExecutionException failure) {
            throw failure.getCause() instanceof ServingException known
                    ? known
                    : ServingException.unknown(ErrorCode.CONNECT_FAILED, String.valueOf(failure.getCause()));
        } catch (TimeoutException late) {
            throw ServingException.unknown(ErrorCode.PROGRESS_TIMEOUT, "no end within " + LONGEST_WAIT_S + " s");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw ServingException.unknown(ErrorCode.INTERNAL, "interrupted");
        }
    }

    /** Changes the configuration, and passes the accepted version on to every instance. */
    ExitCode change(ConfigurationEdit edit) {
        String changeIdentifier = java.util.UUID.randomUUID().toString();
        // Read before the write: the store may be down directly after it.
        List<String> addresses = operatorAddresses();
        Configuration accepted = await(editor().change(changeIdentifier, edit));
        Map<String, String> inForce = new LinkedHashMap<>();
        Buffer body = Buffer.buffer(Json.write(accepted));
        for (String address : addresses) {
            inForce.put(address, pushTo(address, body));
        }
        List<String> lines = new ArrayList<>();
        lines.add("accepted as revision " + accepted.revision() + " (change " + changeIdentifier + ")");
        inForce.forEach((address, state) -> lines.add("  " + address + "  " + state));
        print(new Accepted(accepted.revision(), changeIdentifier, inForce), lines);
        return ExitCode.DONE;
    }

    /** What {@link #change} prints as JSON. */
    record Accepted(long revision, String change, Map<String, String> instances) {}

    private String pushTo(String address, Buffer body) {
        try {
            return "in force: revision "
                    + call(HttpMethod.POST, address, "/v1/configuration", body)
                            .path("revision")
                            .asLong();
        } catch (ServingException failure) {
            return "not reached, learns it from the store or from others";
        }
    }

    /** Returns the operators' listeners of all registered instances. */
    List<String> operatorAddresses() {
        if (!options.instances().isEmpty()) {
            return List.of(options.instances().split(","));
        }
        if (options.keyFile().isEmpty()) {
            return List.of();
        }
        List<String> addresses = new ArrayList<>();
        for (StoredObject object : await(listInstances(platform().objectStore(), options.repeats()))) {
            addresses.add(Json.readTree(object.value()).path("operator_address").asText());
        }
        return addresses;
    }

    private Future<List<StoredObject>> listInstances(ObjectStore store, int left) {
        return store.list("entries")
                .recover(failure -> left > 0
                        ? vertx.timer(REPEAT_MS).compose(fired -> listInstances(store, left - 1))
                        : Future.failedFuture(failure));
    }

    JsonNode call(HttpMethod method, String address, String path, Buffer body) {
        int colon = address.lastIndexOf(':');
        RequestOptions request = new RequestOptions()
                .setMethod(method)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setURI(path)
                .setConnectTimeout(CALL_TIMEOUT_MS)
                .setIdleTimeout(CALL_TIMEOUT_MS)
                .putHeader("Authorization", "Bearer " + readKey());
        return await(client.request(request)
                .compose(open -> open.send(body))
                .compose(response -> response.statusCode() == 200
                        ? response.body()
                        : Future.failedFuture(ServingException.notRun(
                                ErrorCode.UNAUTHORISED, address + " answered " + response.statusCode())))
                .map(answer -> Json.readTree(answer.getBytes())));
    }

    private String readKey() {
        try {
            return Files.readString(Path.of(options.keyFile())).strip();
        } catch (IOException failure) {
            throw ServingException.notRun(ErrorCode.UNAUTHORISED, "--key-file cannot be read");
        }
    }
}
