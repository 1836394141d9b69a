package org.pimentovale.proof;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.IntUnaryOperator;
import org.pimentovale.gateway.GatewayDaemon;
import org.pimentovale.standin.fleet.FleetEndpointStandIn;
import org.pimentovale.standin.fleet.FleetStoreStandIn;

/**
 * Gateways as processes, before stand-ins of the store and of an endpoint whose streams last as long as their paths
 * say. Used by one test at a time.
 */
final class GatewayFleet implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String API_KEY = "key-1";
    static final int SHUTDOWN_MS = 8_000;
    private static final int AWAIT_TIMEOUT_MS = 30_000;
    private static final int CHECK_INTERVAL_MS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient readinessClient = vertx.createHttpClient();
    private final FleetStoreStandIn store = new FleetStoreStandIn(vertx);
    private final FleetEndpointStandIn endpoint = new FleetEndpointStandIn(vertx, "engine-1", false);
    private final Path directory;
    private final String extraSettings;
    private final List<GatewayProcess> processes = new CopyOnWriteArrayList<>();

    /** A gateway in a process of its own, which reaches the store by a listener of its own. */
    record GatewayProcess(String name, DaemonProcess process, int callerPort, int readinessPort, int storePort) {}

    GatewayFleet() {
        this("");
    }

    /** Creates a fleet whose gateways have some lines of settings more. */
    GatewayFleet(String extraSettings) {
        this.extraSettings = extraSettings;
        try {
            directory = Files.createTempDirectory(Path.of("target"), "gateways").toAbsolutePath();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        endpoint.streamForPathDuration();
        store.put("servers", "engine-1", endpoint.storeEntry("engines", await(endpoint.start())));
        store.put("config", "main", configuration());
    }

    private static JsonObject configuration() {
        JsonArray routes = new JsonArray()
                .add(route("short"))
                .add(route("medium"))
                .add(route("long"))
                .add(route("longest"));
        JsonArray workspaces = new JsonArray()
                .add(new JsonObject().put("name", "growers").put("apiKeys", new JsonArray().add(API_KEY)));
        return new JsonObject()
                .put("version", 1)
                .put("routes", routes)
                .put("services", new JsonArray().add(new JsonObject().put("name", "engines")))
                .put("tenants", workspaces)
                .put("limits", new JsonObject().put("maxBodyBytes", 10_000));
    }

    private static JsonObject route(String name) {
        return new JsonObject()
                .put("name", name)
                .put("host", HOST)
                .put("pathPrefix", "/" + name + "/")
                .put("kind", "streaming")
                .put("service", "engines")
                .put("timeoutMs", 10_000)
                .put("goalMs", 1_000)
                .put("maxAttempts", 1);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Returns all processes that were started. */
    List<GatewayProcess> processes() {
        return List.copyOf(processes);
    }

    FleetStoreStandIn store() {
        return store;
    }

    FleetEndpointStandIn endpoint() {
        return endpoint;
    }

    /** Starts a gateway and waits until it is ready. */
    GatewayProcess start(String name) {
        return start(name, storePort -> storePort);
    }

    /** Starts a gateway that reaches its listener of the store by another port, and waits until it is ready. */
    GatewayProcess start(String name, IntUnaryOperator storeLink) {
        return start(name, storeLink, DaemonProcess.DEFAULT_HEAP_MEGABYTES);
    }

    /** Starts a gateway with a heap of a size, and waits until it is ready. */
    GatewayProcess start(String name, int heapMegabytes) {
        return start(name, storePort -> storePort, heapMegabytes);
    }

    private GatewayProcess start(String name, IntUnaryOperator storeLink, int heapMegabytes) {
        Path settings = directory.resolve(name + ".toml");
        int storePort = await(store.start());
        try {
            Files.writeString(settings, settings(name, storeLink.applyAsInt(storePort)));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        DaemonProcess process = DaemonProcess.start(
                heapMegabytes, directory, GatewayDaemon.class.getName(), "--settings", settings.toString());
        String started = process.awaitLine("event=gateway_started", "name=" + name + " ");
        GatewayProcess gateway = new GatewayProcess(
                name,
                process,
                DaemonProcess.intValueOf(started, "caller_port"),
                DaemonProcess.intValueOf(started, "readiness_port"),
                storePort);
        processes.add(gateway);
        awaitUntil(() -> isReady(gateway));
        return gateway;
    }

    private String settings(String name, int storePort) {
        return String.join(
                "\n",
                "name = \"" + name + "\"",
                "zone = \"north\"",
                "platform = \"fleet\"",
                "store = \"127.0.0.1:" + storePort + "\"",
                "callers = \"127.0.0.1:0\"",
                "readiness = \"127.0.0.1:0\"",
                "peers = \"127.0.0.1:0\"",
                "shutdown_s = " + SHUTDOWN_MS / 1_000,
                extraSettings,
                "");
    }

    boolean isReady(GatewayProcess gateway) {
        Future<Integer> status = readinessClient
                .request(HttpMethod.GET, gateway.readinessPort(), "127.0.0.1", "/readiness")
                .compose(request -> request.send())
                .map(HttpClientResponse::statusCode);
        return await(status.otherwise(-1)) == 200;
    }

    void awaitUntil(BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("condition did not hold within " + AWAIT_TIMEOUT_MS + " ms");
            }
            pause(CHECK_INTERVAL_MS);
        }
    }

    void pause(long durationMs) {
        await(vertx.timer(durationMs, TimeUnit.MILLISECONDS));
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
            throw new IllegalStateException(failure.getCause());
        } catch (InterruptedException | TimeoutException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @Override
    public void close() {
        processes.forEach(gateway -> gateway.process().close());
        await(vertx.close());
    }
}
