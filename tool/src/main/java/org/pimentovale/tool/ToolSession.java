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
import org.pimentovale.gateway.port.ServingPlatform;
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
 * The context of one invocation of the tool: its options, its access to the platform and to the instances, and its
 * output. Not thread safe.
 */
public final class ToolSession {
    private static final int CALL_TIMEOUT_MS = 1_000;
    private static final int RETRY_DELAY_MS = 200;
    private static final int OPERATION_TIMEOUT_S = 120;

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

    /** Returns the first argument after the two-word name of the command. */
    String operand() {
        if (options.arguments().size() < 3) {
            throw ServingException.notRun(
                    ErrorCode.COMMAND_LINE_INVALID, "the command needs an argument after its name");
        }
        return options.arguments().get(2);
    }

    /** Prints a value as JSON if {@code --json} is set, otherwise the lines of text. */
    void print(Object value, List<String> lines) {
        if (options.json()) {
            output.println(Json.writeIndented(value));
        } else {
            lines.forEach(output::println);
        }
    }

    Platform openPlatform() {
        return new PluginRegistry<>(PlatformPlugin.class)
                .get(options.platformPlugin())
                .open(vertx, options.platformAddress(), CALL_TIMEOUT_MS);
    }

    ConfigurationSource createConfigurationSource() {
        return new ConfigurationSource(vertx, new PluginRegistry<>(ServingPlatform.class));
    }

    ConfigurationEditor createEditor() {
        return new ConfigurationEditor(vertx, openPlatform().objectStore(), options.maxRetries());
    }

    TablesFile readTablesFile() {
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
            return future.toCompletionStage().toCompletableFuture().get(OPERATION_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException failure) {
            throw failure.getCause() instanceof ServingException servingFailure
                    ? servingFailure
                    : ServingException.unknown(ErrorCode.CONNECT_FAILED, String.valueOf(failure.getCause()));
        } catch (TimeoutException timeout) {
            throw ServingException.unknown(
                    ErrorCode.PROGRESS_TIMEOUT, "operation did not complete within " + OPERATION_TIMEOUT_S + " s");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw ServingException.unknown(ErrorCode.INTERNAL, "interrupted");
        }
    }

    /**
     * Changes the stored configuration and sends the accepted version to every instance. An instance that cannot be
     * reached receives the version later, from the store or from a peer.
     */
    ExitCode change(ConfigurationEdit edit) {
        String changeIdentifier = java.util.UUID.randomUUID().toString();
        // Listed before the write, as the store may be unavailable directly after it.
        List<String> addresses = operatorAddresses();
        Configuration accepted = await(createEditor().change(changeIdentifier, edit));
        Map<String, String> instanceStates = new LinkedHashMap<>();
        Buffer body = Buffer.buffer(Json.write(accepted));
        for (String address : addresses) {
            instanceStates.put(address, pushTo(address, body));
        }
        List<String> lines = new ArrayList<>();
        lines.add("accepted as revision " + accepted.revision() + " (change " + changeIdentifier + ")");
        instanceStates.forEach((address, state) -> lines.add("  " + address + "  " + state));
        print(new AcceptedChange(accepted.revision(), changeIdentifier, instanceStates), lines);
        return ExitCode.DONE;
    }

    /** The JSON output of {@link #change}; {@code instances} maps addresses to states. */
    record AcceptedChange(long revision, String change, Map<String, String> instances) {}

    private String pushTo(String address, Buffer body) {
        try {
            return "in force: revision "
                    + call(HttpMethod.POST, address, "/v1/configuration", body)
                            .path("revision")
                            .asLong();
        } catch (ServingException failure) {
            return "not reached, will receive it from the store or from a peer";
        }
    }

    /**
     * Returns the addresses of the operators' listeners: those of {@code --instances} if it is set, otherwise those of
     * all registered instances, or none without {@code --key-file}.
     */
    List<String> operatorAddresses() {
        if (!options.instances().isEmpty()) {
            return List.of(options.instances().split(","));
        }
        if (options.keyFile().isEmpty()) {
            return List.of();
        }
        List<String> addresses = new ArrayList<>();
        for (StoredObject object : await(listInstances(openPlatform().objectStore(), options.maxRetries()))) {
            addresses.add(Json.readTree(object.value()).path("operator_address").asText());
        }
        return addresses;
    }

    private Future<List<StoredObject>> listInstances(ObjectStore store, int retriesLeft) {
        return store.list("entries")
                .recover(failure -> retriesLeft > 0
                        ? vertx.timer(RETRY_DELAY_MS).compose(fired -> listInstances(store, retriesLeft - 1))
                        : Future.failedFuture(failure));
    }

    /** Calls an operators' listener, with the key. */
    JsonNode call(HttpMethod method, String address, String path, Buffer body) {
        return send(request(method, address, path).putHeader("Authorization", "Bearer " + readKey()), address, body);
    }

    /** Queries the peer listener of a gateway, which asks for no key. */
    JsonNode queryPeer(String address, String path) {
        return send(request(HttpMethod.GET, address, path), address, Buffer.buffer());
    }

    private static RequestOptions request(HttpMethod method, String address, String path) {
        int colon = address.lastIndexOf(':');
        return new RequestOptions()
                .setMethod(method)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setURI(path)
                .setConnectTimeout(CALL_TIMEOUT_MS)
                .setIdleTimeout(CALL_TIMEOUT_MS);
    }

    private JsonNode send(RequestOptions request, String address, Buffer body) {
        return await(client.request(request)
                .compose(clientRequest -> clientRequest.send(body))
                .compose(response -> response.statusCode() == 200
                        ? response.body()
                        : Future.failedFuture(ServingException.notRun(
                                ErrorCode.UNAUTHORISED, address + " returned HTTP status " + response.statusCode())))
                .map(responseBody -> Json.readTree(responseBody.getBytes())));
    }

    private String readKey() {
        try {
            return Files.readString(Path.of(options.keyFile())).strip();
        } catch (IOException failure) {
            throw ServingException.notRun(ErrorCode.UNAUTHORISED, "--key-file cannot be read");
        }
    }
}
