package org.pimentovale.standin.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * A small store in the place of the platform's: kinds of named objects, one revision, lists and watches.
 *
 * <p>Invariant: the revision grows with each change. Thread safe; its lock is a leaf.
 */
public final class FleetStoreStandIn {
    private static final int PAGE_SIZE = 50;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final Map<String, TreeMap<String, JsonObject>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long revision = 1;
    private long historyFrom = 1;
    private boolean down;
    private boolean silent;

    private record Change(long revision, String kind, JsonObject object, boolean deleted) {}

    private record Waiting(HttpServerRequest http, String kind, long since) {}

    /**
     * Creates an empty store.
     *
     * @param vertx runs it
     */
    public FleetStoreStandIn(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Opens the store.
     *
     * @return its port
     */
    public Future<Integer> start() {
        return vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /**
     * Writes an object as the operator or an endpoint does.
     *
     * @param kind its kind
     * @param name its name
     * @param spec what it holds
     * @return the revision of the change
     */
    public synchronized long put(String kind, String name, Object spec) {
        revision++;
        JsonObject before = objects(kind).get(name);
        long created =
                before == null ? revision : before.getJsonObject("metadata").getLong("createRevision");
        JsonObject object = new JsonObject()
                .put(
                        "metadata",
                        new JsonObject()
                                .put("name", name)
                                .put("revision", revision)
                                .put("createRevision", created))
                .put("spec", spec);
        objects(kind).put(name, object);
        change(new Change(revision, kind, object, false));
        return revision;
    }

    /**
     * Removes an object.
     *
     * @param kind its kind
     * @param name its name
     */
    public synchronized void delete(String kind, String name) {
        JsonObject object = objects(kind).remove(name);
        if (object != null) {
            revision++;
            change(new Change(revision, kind, object, true));
        }
    }

    /**
     * Lets the store refuse all calls, or serve them again; waiting watches are cut off.
     *
     * @param refuses whether it refuses
     */
    public synchronized void setDown(boolean refuses) {
        down = refuses;
        waiting.forEach(watch -> watch.http().connection().close());
        waiting.clear();
    }

    /**
     * Lets the store swallow all calls without an answer, or serve them again.
     *
     * @param swallows whether it swallows
     */
    public synchronized void setSilent(boolean swallows) {
        silent = swallows;
        waiting.clear();
    }

    /** Forgets the history, so that watches behind the present have to list again. */
    public synchronized void dropHistory() {
        history.clear();
        historyFrom = revision + 1;
        revision++;
    }

    /**
     * Returns the names of the objects of a kind.
     *
     * @param kind the kind
     * @return the names
     */
    public synchronized List<String> names(String kind) {
        return List.copyOf(objects(kind).keySet());
    }

    private TreeMap<String, JsonObject> objects(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private void change(Change change) {
        history.add(change);
        List.copyOf(waiting).stream()
                .filter(watch -> watch.kind().equals(change.kind()))
                .forEach(this::answerWatch);
    }

    private void handle(HttpServerRequest http) {
        http.body().onSuccess(body -> answer(http, body));
    }

    private synchronized void answer(HttpServerRequest http, Buffer body) {
        if (silent) {
            return;
        }
        if (down) {
            http.response().setStatusCode(STATUS_UNAVAILABLE).end();
            return;
        }
        String[] path = http.path().split("/", -1);
        String kind = path[2];
        if (http.method().equals(HttpMethod.GET)) {
            read(http, kind);
        } else if (http.method().equals(HttpMethod.POST)) {
            create(http, kind, body.toJsonObject());
        } else if (http.method().equals(HttpMethod.PUT)) {
            put(kind, path[3], body.toJsonObject().getValue("spec"));
            http.response().end(objects(kind).get(path[3]).toBuffer());
        } else {
            delete(kind, path[3]);
            http.response().end();
        }
    }

    private void create(HttpServerRequest http, String kind, JsonObject object) {
        String name = object.getJsonObject("metadata").getString("name");
        if (objects(kind).containsKey(name)) {
            http.response().setStatusCode(409).end(objects(kind).get(name).toBuffer());
            return;
        }
        put(kind, name, object.getValue("spec"));
        http.response().setStatusCode(201).end(objects(kind).get(name).toBuffer());
    }

    private void read(HttpServerRequest http, String kind) {
        String since = http.getParam("watch");
        if (since == null) {
            list(http, kind, Objects.requireNonNullElse(http.getParam("after"), ""));
            return;
        }
        Waiting watch = new Waiting(http, kind, Long.parseLong(since));
        if (watch.since() < historyFrom - 1) {
            http.response().setStatusCode(410).end();
        } else if (!answerWatch(watch)) {
            waiting.add(watch);
            vertx.setTimer(Math.max(1, Integer.parseInt(http.getParam("waitMs"))), fired -> endWatch(watch));
        }
    }

    private void list(HttpServerRequest http, String kind, String after) {
        JsonArray items = new JsonArray();
        Map<String, JsonObject> behind = objects(kind).tailMap(after, after.isEmpty());
        behind.values().stream().limit(PAGE_SIZE).forEach(items::add);
        http.response()
                .end(new JsonObject()
                        .put("items", items)
                        .put("hasMore", behind.size() > PAGE_SIZE)
                        .put("currentRev", revision)
                        .toBuffer());
    }

    private boolean answerWatch(Waiting watch) {
        JsonArray events = new JsonArray();
        history.stream()
                .filter(change -> change.kind().equals(watch.kind()) && change.revision() > watch.since())
                .forEach(change -> events.add(
                        new JsonObject().put("deleted", change.deleted()).put("object", change.object())));
        if (events.isEmpty()) {
            return false;
        }
        waiting.remove(watch);
        watch.http()
                .response()
                .end(new JsonObject()
                        .put("events", events)
                        .put("currentRev", revision)
                        .toBuffer());
        return true;
    }

    private synchronized void endWatch(Waiting watch) {
        if (waiting.remove(watch)) {
            watch.http()
                    .response()
                    .end(new JsonObject()
                            .put("events", new JsonArray())
                            .put("currentRev", revision)
                            .toBuffer());
        }
    }
}
