package org.pimentovale.proof;

import io.vertx.core.Deployable;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.pimentovale.standin.EndpointProfile;
import org.pimentovale.standin.EndpointStandIn;
import org.pimentovale.standin.StoreStandIn;

/**
 * Entry daemons as separate processes, with stand-ins for the store and the endpoints in the process of the test.
 * Closing it ends the processes and the stand-ins.
 */
final class Fleet implements AutoCloseable {
    static final String OPERATOR_KEY = "proof-key";
    private static final long COMMAND_TIMEOUT_MS = 3_000;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path directory;
    private final List<EntryInstance> entries = new ArrayList<>();
    private final Map<EndpointStandIn, String> deployments = new HashMap<>();
    private final StoreStandIn store = new StoreStandIn(0);
    private String seeds = "";

    /** An entry daemon process with its TCP ports. */
    record EntryInstance(DaemonProcess process, int callerPort, int operatorPort) {
        String callerUrl() {
            return "http://127.0.0.1:" + callerPort;
        }
    }

    Fleet() {
        try {
            directory = Files.createTempDirectory("fleet");
            Files.writeString(directory.resolve("key"), OPERATOR_KEY);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        deploy(store);
    }

    private String deploy(Deployable standIn) {
        return vertx.deployVerticle(standIn)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    /** Stops an endpoint permanently. */
    void closeEndpoint(EndpointStandIn endpoint) {
        vertx.undeploy(deployments.get(endpoint))
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    Path directory() {
        return directory;
    }

    HttpClient client() {
        return client;
    }

    int storePort() {
        return store.actualPort();
    }

    EndpointStandIn startEndpoint(EndpointProfile profile) {
        EndpointStandIn endpoint = new EndpointStandIn(0, profile);
        deployments.put(endpoint, deploy(endpoint));
        return endpoint;
    }

    static EndpointProfile serviceProfile(int workMs) {
        return new EndpointProfile(64, 64, 0, workMs, 1, 8, 0);
    }

    static EndpointProfile engineProfile(int tokenMs, int tokens) {
        return new EndpointProfile(64, 64, 0, 5, tokenMs, tokens, 0);
    }

    /** Applies the tables with the operators' tool, and fails if the tool does not exit with 0. */
    void applyTables(String tables) {
        int exitCode = runTool(
                "configuration",
                "apply",
                "--file",
                writeFile("tables.toml", tables).toString());
        if (exitCode != 0) {
            throw new AssertionError("configuration apply exited with code " + exitCode);
        }
    }

    int runTool(String... command) {
        List<String> arguments = new ArrayList<>(List.of(command));
        arguments.addAll(List.of(
                "--platform-address",
                "127.0.0.1:" + storePort(),
                "--key-file",
                directory.resolve("key").toString()));
        return org.pimentovale.tool.OperatorTool.run(arguments.toArray(String[]::new), System.out, System.err);
    }

    Path writeFile(String name, String text) {
        try {
            return Files.writeString(directory.resolve(name), text);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    EntryInstance startEntry(String name, String zone) {
        return startEntry(name, zone, "plugin = \"http\"\naddress = \"127.0.0.1:" + storePort() + "\"");
    }

    EntryInstance startEmbeddedEntry(String name, String zone, String tablesFile) {
        return startEntry(name, zone, "plugin = \"embedded\"\ntables_file = \"" + tablesFile + "\"");
    }

    private EntryInstance startEntry(String name, String zone, String platform) {
        String settings =
                """
                [instance]
                name = "%s"
                zone = "%s"
                workers = 1
                [callers]
                port = 0
                [operators]
                port = 0
                key_file = "key"
                [peers]
                port = 0
                key_file = "key"
                %s
                [platform]
                %s
                call_timeout_ms = 500
                [limits]
                probes_per_second = 200
                """
                        .formatted(name, zone, seeds, platform);
        Path file = writeFile(name + ".toml", settings);
        DaemonProcess process =
                DaemonProcess.start(directory, "org.pimentovale.daemon.EntryDaemon", "--settings", file.toString());
        int operatorPort = DaemonProcess.intValueOf(process.awaitLine("event=operators_listening"), "port");
        int callerPort = DaemonProcess.intValueOf(process.awaitLine("event=callers_listening"), "port");
        process.awaitLine("event=instance_started");
        EntryInstance entry = new EntryInstance(process, callerPort, operatorPort);
        entries.add(entry);
        return entry;
    }

    EntryInstance startEntryWithSeed(String name, String zone, String seedAddress) {
        seeds = "seeds = [\"" + seedAddress + "\"]";
        try {
            return startEntry(name, zone);
        } finally {
            seeds = "";
        }
    }

    /** Overwrites the stored configuration directly in the store, without validation. */
    void overwriteConfiguration(String value) {
        String url = "http://127.0.0.1:" + storePort() + "/v1/objects/configuration/current";
        HttpResponse<String> current =
                send(HttpRequest.newBuilder(URI.create(url)).GET().build());
        send(HttpRequest.newBuilder(URI.create(url))
                .header("If-Match", current.headers().firstValue("ETag").orElseThrow())
                .PUT(HttpRequest.BodyPublishers.ofString(value))
                .build());
    }

    HttpRequest.Builder request(EntryInstance entry, String kind, String body) {
        return HttpRequest.newBuilder(URI.create(entry.callerUrl() + "/v1/requests/" + kind))
                .timeout(Duration.ofSeconds(30))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpResponse<String> send(HttpRequest request) {
        return sendAsync(request).join();
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> call(EntryInstance entry, String kind, String body) {
        return send(request(entry, kind, body).build());
    }

    HttpResponse<String> book(EntryInstance entry, String key) {
        return bookAsync(entry, key).join();
    }

    CompletableFuture<HttpResponse<String>> bookAsync(EntryInstance entry, String key) {
        return sendAsync(request(entry, "booking", "{\"slot\":\"" + key + "\"}")
                .header("Idempotency-Key", key)
                .build());
    }

    /** Sends a command to a stand-in and retries while it restarts. */
    String sendCommand(int port, String path, String body) {
        String[] responseBody = new String[1];
        boolean answered = eventually(COMMAND_TIMEOUT_MS, () -> {
            try {
                responseBody[0] = sendCommandAsync(port, path, body).join().body();
                return true;
            } catch (CompletionException restarting) {
                return false;
            }
        });
        if (!answered) {
            throw new AssertionError("stand-in " + port + " did not respond to " + path);
        }
        return responseBody[0];
    }

    CompletableFuture<HttpResponse<String>> sendCommandAsync(int port, String path, String body) {
        return sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build());
    }

    void setStoreFaults(JsonObject faults) {
        sendCommand(storePort(), "/faults", faults.encode());
    }

    JsonArray runs(EndpointStandIn endpoint) {
        return new JsonArray(sendCommand(endpoint.actualPort(), "/runs", ""));
    }

    JsonObject stats(EndpointStandIn endpoint) {
        return new JsonObject(sendCommand(endpoint.actualPort(), "/stats", ""));
    }

    boolean isReady(EntryInstance entry) {
        return send(HttpRequest.newBuilder(URI.create(entry.callerUrl() + "/ready"))
                                .GET()
                                .build())
                        .statusCode()
                == 200;
    }

    int runningCount(EntryInstance entry) {
        return new JsonObject(operatorGet(entry, "/v1/instance")).getInteger("running");
    }

    Socket connect(EntryInstance entry) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), entry.callerPort());
    }

    JsonObject storeCounts() {
        return new JsonObject(sendCommand(storePort(), "/counts", ""));
    }

    String operatorGet(EntryInstance entry, String path) {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.operatorPort() + path))
                        .header("Authorization", "Bearer " + OPERATOR_KEY)
                        .GET()
                        .build())
                .body();
    }

    /** Polls the condition until it holds or the timeout expires, and returns whether it holds. */
    boolean eventually(long timeoutMs, java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (System.nanoTime() < deadlineNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            vertx.timer(20).toCompletionStage().toCompletableFuture().join();
        }
        return condition.getAsBoolean();
    }

    static String poolTable(String name, String protocol, String extraSettings, Object... addressesAndZones) {
        StringBuilder pool = new StringBuilder("[[pool]]\nname = \"" + name + "\"\nprotocol = \"" + protocol
                + "\"\nlimit = 32\nexpected_ms = 20\n" + extraSettings + "\n");
        for (int position = 0; position < addressesAndZones.length; position += 2) {
            int port = ((EndpointStandIn) addressesAndZones[position]).actualPort();
            pool.append("[[pool.endpoint]]\naddress = \"127.0.0.1:")
                    .append(port)
                    .append("\"\nzone = \"")
                    .append(addressesAndZones[position + 1])
                    .append("\"\n");
        }
        return pool.toString();
    }

    static String routeTable(String kind, int deadlineMs, String urgency, String... stagesAndPools) {
        StringBuilder route = new StringBuilder("[[route]]\nkind = \"" + kind + "\"\ndeadline_ms = " + deadlineMs
                + "\nurgency = \"" + urgency + "\"\n");
        for (int position = 0; position < stagesAndPools.length; position += 2) {
            String stage = stagesAndPools[position];
            route.append("[[route.stage]]\nname = \"")
                    .append(stage.replace("!", ""))
                    .append("\"\npool = \"")
                    .append(stagesAndPools[position + 1])
                    .append("\"\n")
                    .append(stage.startsWith("!") ? "idempotent = false\n" : "");
        }
        return route.toString();
    }

    @Override
    public void close() {
        entries.forEach(entry -> entry.process().close());
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
