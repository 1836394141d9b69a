package org.pimentovale.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pimentovale.store.EmbeddedPlatform;
import org.pimentovale.store.InMemoryObjectTable;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Stand-in for the platform's object store and instance list over HTTP, with fault injection for tests.
 *
 * <p>All responses name the store's era, which increases with each restore. Every call is counted by operation and
 * kind; a long poll counts as one watch. Not thread safe; used on one event loop.
 */
public final class StoreStandIn extends VerticleBase {
    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final String ERA_HEADER = "Store-Era";

    private final int port;
    private InMemoryObjectTable table = new InMemoryObjectTable();
    private long era = 1;
    private final Map<String, Long> counts = new TreeMap<>();
    private final HoldPoint holdPoint = new HoldPoint();
    private EmbeddedPlatform embeddedPlatform;
    private HttpServer server;
    private JsonObject faults = new JsonObject();
    private JsonArray instances = new JsonArray();

    /**
     * Creates an empty store.
     *
     * @param port the TCP port, zero for an ephemeral port
     */
    public StoreStandIn(int port) {
        this.port = port;
    }

    @Override
    public Future<?> start() {
        embeddedPlatform = new EmbeddedPlatform(vertx, table);
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(port, "127.0.0.1")
                .onSuccess(open -> System.out.println("listening port=" + open.actualPort()));
    }

    /**
     * Returns the TCP port that the server listens on, once it is started.
     *
     * @return the TCP port
     */
    public int actualPort() {
        return server.actualPort();
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        request.response().headersEndHandler(end -> request.response().putHeader(ERA_HEADER, Long.toString(era)));
        switch (path) {
            case "/faults" ->
                request.body().onSuccess(body -> {
                    faults = faults.copy().mergeIn(new JsonObject(body));
                    if (faults.containsKey("hold")) {
                        JsonObject hold = (JsonObject) faults.remove("hold");
                        holdPoint.arm(hold.getString("point"), hold.getInteger("passes", 0));
                    }
                    request.response().end();
                });
            case "/held" ->
                holdPoint.awaitHeld().onSuccess(point -> request.response().end(point));
            case "/restore" -> {
                restore();
                request.response().end();
            }
            case "/release" -> {
                holdPoint.release();
                request.response().end();
            }
            case "/counts" -> request.response().end(new JsonObject(Map.copyOf(counts)).encode());
            case "/instances" ->
                request.body().onSuccess(body -> {
                    instances = new JsonArray(body);
                    request.response().end();
                });
            default -> request.body().onSuccess(body -> applyFaults(request, body));
        }
    }

    /** Restores the store from a backup that is empty. */
    private void restore() {
        table = new InMemoryObjectTable();
        embeddedPlatform = new EmbeddedPlatform(vertx, table);
        era++;
    }

    private void applyFaults(HttpServerRequest request, Buffer body) {
        String path = request.path();
        String operation = operation(request);
        String kind = path.startsWith(OBJECTS_PATH)
                ? path.substring(OBJECTS_PATH.length()).split("/", 2)[0]
                : "instances";
        counts.merge(operation + " " + kind, 1L, Long::sum);
        if (faults.getBoolean("outage", false)) {
            return;
        }
        if (faults.getBoolean("refuse", false)) {
            request.response().setStatusCode(503).end();
            return;
        }
        if (operation.equals("watch") && faults.getBoolean("silent_watch", false)) {
            return;
        }
        int latencyMs = faults.getInteger("latency_ms", 0);
        Future<?> delay = latencyMs > 0 ? vertx.timer(latencyMs) : Future.succeededFuture();
        delay.compose(ready -> holdPoint.pass(operation + " " + kind + " before"))
                .onSuccess(ready -> execute(request, body, operation, kind));
    }

    private static String operation(HttpServerRequest request) {
        if (request.method().equals(HttpMethod.PUT)) {
            return "write";
        }
        if (request.method().equals(HttpMethod.DELETE)) {
            return "delete";
        }
        return request.getParam("wait_ms") == null ? "read" : "watch";
    }

    private void execute(HttpServerRequest request, Buffer body, String operation, String kind) {
        if (kind.equals("instances")) {
            request.response().end(instances.encode());
            return;
        }
        String path = request.path().substring(OBJECTS_PATH.length());
        int slash = path.indexOf('/');
        if (slash < 0) {
            list(request.response(), kind);
            return;
        }
        String name = path.substring(slash + 1);
        switch (operation) {
            case "write" -> write(request, body, kind, name);
            case "delete" -> {
                boolean deleted = table.delete(kind, name, readVersion(request, "If-Match"));
                request.response().setStatusCode(deleted ? 204 : 412).end();
            }
            case "watch" ->
                embeddedPlatform
                        .awaitChange(
                                kind,
                                name,
                                Long.parseLong(request.getParam("known_version")),
                                Integer.parseInt(request.getParam("wait_ms")))
                        .onSuccess(found -> sendObject(request.response(), found, 304));
            default -> sendObject(request.response(), table.read(kind, name), 404);
        }
    }

    private void list(HttpServerResponse response, String kind) {
        JsonArray objects = new JsonArray();
        for (StoredObject object : table.list(kind)) {
            objects.add(new JsonObject()
                    .put("name", object.name())
                    .put("version", object.version())
                    .put("value", object.value()));
        }
        response.end(objects.encode());
    }

    private void write(HttpServerRequest request, Buffer body, String kind, String name) {
        long expectedVersion = readVersion(request, "If-Match");
        if (consumeFault("delayed_writes")) {
            // No response is sent, and the write is applied after the delay.
            vertx.setTimer(
                    faults.getInteger("delay_ms", 1_500),
                    fired -> table.write(kind, name, expectedVersion, body.getBytes()));
            return;
        }
        WriteResult result = table.write(kind, name, expectedVersion, body.getBytes());
        if (result instanceof WriteResult.Accepted && kind.equals(faults.getString("outage_after_write_of"))) {
            // This write still gets a response; all later calls get none.
            faults.put("outage", true).remove("outage_after_write_of");
        }
        if (consumeFault("lost_answers")) {
            return;
        }
        holdPoint.pass("write " + kind + " after").onSuccess(ready -> {
            if (result instanceof WriteResult.Accepted accepted) {
                request.response()
                        .putHeader("ETag", entityTag(accepted.object().version()))
                        .end();
            } else {
                sendConflict(request.response(), ((WriteResult.Conflict) result).current());
            }
        });
    }

    private boolean consumeFault(String fault) {
        int remaining = faults.getInteger(fault, 0);
        if (remaining > 0) {
            faults.put(fault, remaining - 1);
        }
        return remaining > 0;
    }

    private static long readVersion(HttpServerRequest request, String header) {
        String tag = request.getHeader(header);
        return tag == null ? 0 : Long.parseLong(tag.replace("\"", ""));
    }

    private static void sendConflict(HttpServerResponse response, Optional<StoredObject> current) {
        response.setStatusCode(412);
        if (current.isEmpty()) {
            response.end();
            return;
        }
        response.putHeader("ETag", entityTag(current.get().version()))
                .end(Buffer.buffer(current.get().value()));
    }

    private static void sendObject(HttpServerResponse response, Optional<StoredObject> object, int absentStatus) {
        if (response.closed()) {
            return;
        }
        if (object.isEmpty()) {
            response.setStatusCode(absentStatus).end();
            return;
        }
        response.putHeader("ETag", entityTag(object.get().version()))
                .end(Buffer.buffer(object.get().value()));
    }

    private static String entityTag(long version) {
        return "\"" + version + "\"";
    }
}
