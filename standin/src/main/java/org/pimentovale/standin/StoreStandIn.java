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
 * The platform's object store and list of instances over HTTP, with faults that a test switches.
 *
 * <p>Every call is counted by operation and kind; a waiting watch counts as one. Not thread safe; used on one event
 * loop.
 */
public final class StoreStandIn extends VerticleBase {
    private static final String OBJECTS_PATH = "/v1/objects/";

    private final int port;
    private final InMemoryObjectTable table = new InMemoryObjectTable();
    private final Map<String, Long> counts = new TreeMap<>();
    private final HoldPoint holdPoint = new HoldPoint();
    private EmbeddedPlatform watches;
    private HttpServer server;
    private JsonObject faults = new JsonObject();
    private JsonArray instances = new JsonArray();

    /**
     * Creates a store.
     *
     * @param port the TCP port, zero for one that the system chooses
     */
    public StoreStandIn(int port) {
        this.port = port;
    }

    @Override
    public Future<?> start() {
        watches = new EmbeddedPlatform(vertx, table);
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(port, "127.0.0.1")
                .onSuccess(open -> System.out.println("listening port=" + open.actualPort()));
    }

    /**
     * Returns the port of the open server.
     *
     * @return the TCP port
     */
    public int actualPort() {
        return server.actualPort();
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
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
            default -> request.body().onSuccess(body -> answerWithFaults(request, body));
        }
    }

    private void answerWithFaults(HttpServerRequest request, Buffer body) {
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
                .onSuccess(ready -> answer(request, body, operation, kind));
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

    private void answer(HttpServerRequest request, Buffer body, String operation, String kind) {
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
                boolean gone = table.delete(kind, name, version(request, "If-Match"));
                request.response().setStatusCode(gone ? 204 : 412).end();
            }
            case "watch" ->
                watches.awaitChange(
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
        long expected = version(request, "If-Match");
        if (countDown("delayed_writes")) {
            // The caller gets no answer, and the write takes effect later.
            vertx.setTimer(
                    faults.getInteger("delay_ms", 1_500), fired -> table.write(kind, name, expected, body.getBytes()));
            return;
        }
        WriteResult result = table.write(kind, name, expected, body.getBytes());
        if (result instanceof WriteResult.Accepted && kind.equals(faults.getString("outage_after_write_of"))) {
            // This write is still answered, and nothing after it.
            faults.put("outage", true).remove("outage_after_write_of");
        }
        if (countDown("lost_answers")) {
            return;
        }
        holdPoint.pass("write " + kind + " after").onSuccess(ready -> {
            if (result instanceof WriteResult.Accepted accepted) {
                request.response()
                        .putHeader("ETag", tag(accepted.object().version()))
                        .end();
            } else {
                sendConflict(request.response(), ((WriteResult.Conflict) result).current());
            }
        });
    }

    private boolean countDown(String fault) {
        int left = faults.getInteger(fault, 0);
        if (left > 0) {
            faults.put(fault, left - 1);
        }
        return left > 0;
    }

    private static long version(HttpServerRequest request, String header) {
        String tag = request.getHeader(header);
        return tag == null ? 0 : Long.parseLong(tag.replace("\"", ""));
    }

    private static void sendConflict(HttpServerResponse response, Optional<StoredObject> current) {
        response.setStatusCode(412);
        if (current.isEmpty()) {
            response.end();
            return;
        }
        response.putHeader("ETag", tag(current.get().version()))
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
        response.putHeader("ETag", tag(object.get().version()))
                .end(Buffer.buffer(object.get().value()));
    }

    private static String tag(long version) {
        return "\"" + version + "\"";
    }
}
