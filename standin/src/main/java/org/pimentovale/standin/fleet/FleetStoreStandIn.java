package org.pimentovale.standin.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Stand-in for the platform's store: named objects by kind, one revision for the whole store, lists and watches.
 *
 * <p>Invariant: within an era the revision increases with each change.
 * Thread safe; it takes no other lock while it holds its own.
 */
public final class FleetStoreStandIn {
    private static final int PAGE_SIZE = 50;
    private static final int ANSWER_BYTES = 1_024 * 1_024;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String ERA_HEADER = "Store-Era";

    private final Vertx vertx;
    private final Map<String, TreeMap<String, JsonObject>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private long revision = 1;
    private long historyStartRevision = 1;
    private boolean unavailable;
    private boolean unresponsive;
    private long era = 1;
    private final Map<String, String> rawContents = new TreeMap<>();
    private final Set<String> listedKinds = new HashSet<>();
    private final WriteInterceptor interceptor;
    private int responseDelayMs;

    private record Change(long revision, String kind, JsonObject object, boolean deleted) {}

    private record PendingWatch(HttpServerRequest request, String kind, long sinceRevision) {}

    /**
     * A copy of the store's content.
     *
     * @param kinds the objects by kind and name
     * @param revision the store's revision when the copy was made
     */
    public record Backup(Map<String, TreeMap<String, JsonObject>> kinds, long revision) {}

    /**
     * Creates an empty store.
     *
     * @param vertx the Vert.x instance that runs the server
     */
    public FleetStoreStandIn(Vertx vertx) {
        this.vertx = vertx;
        interceptor = new WriteInterceptor(vertx);
    }

    /**
     * Starts a listener on an ephemeral port. Further listeners serve the same objects, so that a test can tell by the
     * port which process made a write.
     *
     * @return the TCP port, once the server listens
     */
    public Future<Integer> start() {
        return vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /**
     * Creates or replaces an object, as the operator or an endpoint does, and notifies the pending watches.
     *
     * @param kind the kind of the object
     * @param name the name of the object, unique within its kind
     * @param spec the specification, as a JSON value
     * @return the revision of the change
     */
    public synchronized long put(String kind, String name, Object spec) {
        revision++;
        JsonObject previous = objects(kind).get(name);
        long createRevision =
                previous == null ? revision : previous.getJsonObject("metadata").getLong("createRevision");
        JsonObject object =
                new JsonObject().put("metadata", metadata(name, createRevision)).put("spec", spec);
        if (previous != null && previous.containsKey("status")) {
            object.put("status", previous.getValue("status"));
        }
        replace(kind, name, object);
        return revision;
    }

    /**
     * Replaces the status of an existing object and notifies the pending watches.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param status the status, as a JSON value
     */
    public synchronized void putStatus(String kind, String name, Object status) {
        JsonObject previous = objects(kind).get(name);
        revision++;
        JsonObject object = previous.copy()
                .put(
                        "metadata",
                        metadata(name, previous.getJsonObject("metadata").getLong("createRevision")))
                .put("status", status);
        replace(kind, name, object);
    }

    private JsonObject metadata(String name, long createRevision) {
        return new JsonObject().put("name", name).put("revision", revision).put("createRevision", createRevision);
    }

    private void replace(String kind, String name, JsonObject object) {
        objects(kind).put(name, object);
        recordChange(new Change(revision, kind, object, false));
    }

    /**
     * Creates or replaces an object whose specification is any sequence of bytes, as another writer may do.
     *
     * @param kind the kind of the object
     * @param name the name of the object, unique within its kind
     * @param content the bytes that lists and watches contain as the specification
     * @return the revision of the change
     */
    public synchronized long putRaw(String kind, String name, byte[] content) {
        String placeholder = "raw-content-" + rawContents.size();
        rawContents.put('"' + placeholder + '"', new String(content, StandardCharsets.ISO_8859_1));
        return put(kind, name, placeholder);
    }

    /** Encodes an answer and inserts the raw contents byte for byte. */
    private Buffer encode(JsonObject answer) {
        String text = answer.toBuffer().toString(StandardCharsets.ISO_8859_1);
        for (Map.Entry<String, String> raw : rawContents.entrySet()) {
            text = text.replace(raw.getKey(), raw.getValue());
        }
        return Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Deletes an object and notifies the pending watches; does nothing if the object does not exist.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     */
    public synchronized void delete(String kind, String name) {
        JsonObject object = objects(kind).remove(name);
        if (object != null) {
            revision++;
            recordChange(new Change(revision, kind, object, true));
        }
    }

    /**
     * Makes the store reject all calls with status 503, or serve them again; connections of pending watches are closed.
     *
     * @param rejectsCalls whether calls are rejected
     */
    public synchronized void setUnavailable(boolean rejectsCalls) {
        unavailable = rejectsCalls;
        closePendingWatches();
    }

    private void closePendingWatches() {
        pendingWatches.forEach(watch -> watch.request().connection().close());
        pendingWatches.clear();
    }

    /**
     * Makes the store leave all calls without a response, or serve them again; pending watches get no response.
     *
     * @param ignoresCalls whether calls are left without a response
     */
    public synchronized void setUnresponsive(boolean ignoresCalls) {
        unresponsive = ignoresCalls;
        pendingWatches.clear();
    }

    /**
     * Makes the store handle each later call with a delay.
     *
     * @param delayMs the delay in milliseconds, zero for none
     */
    public synchronized void setResponseDelay(int delayMs) {
        responseDelayMs = delayMs;
    }

    /**
     * Returns what loses, delays or holds single writes.
     *
     * @return the interceptor of this store
     */
    public WriteInterceptor interceptor() {
        return interceptor;
    }

    /** Deletes the change history, so that watches from older revisions get status 410 and have to list again. */
    public synchronized void dropHistory() {
        history.clear();
        historyStartRevision = revision + 1;
        revision++;
    }

    /**
     * Copies the store's content.
     *
     * @return the copy, from which {@link #restore} restores the store
     */
    public synchronized Backup backup() {
        Map<String, TreeMap<String, JsonObject>> copy = new TreeMap<>();
        kinds.forEach((kind, objects) -> copy.put(kind, new TreeMap<>(objects)));
        return new Backup(copy, revision);
    }

    /**
     * Replaces the store's content by an older copy. All writes since then are lost, and their revisions are given out
     * again; the era rises by one. Connections of pending watches are closed.
     *
     * @param backup the copy
     */
    public synchronized void restore(Backup backup) {
        kinds.clear();
        backup.kinds().forEach((kind, objects) -> kinds.put(kind, new TreeMap<>(objects)));
        history.removeIf(change -> change.revision() > backup.revision());
        revision = backup.revision();
        era++;
        listedKinds.clear();
        closePendingWatches();
    }

    /**
     * Returns the kinds that were listed since the store was last restored.
     *
     * @return the kinds
     */
    public synchronized Set<String> listedKinds() {
        return Set.copyOf(listedKinds);
    }

    /**
     * Returns the names of the objects of a kind.
     *
     * @param kind the kind of the objects
     * @return the names in ascending order
     */
    public synchronized List<String> names(String kind) {
        return List.copyOf(objects(kind).keySet());
    }

    /**
     * Returns the specification of an object.
     *
     * @param kind the kind of the object
     * @param name the name of an existing object
     * @return the specification
     */
    public synchronized JsonObject spec(String kind, String name) {
        return objects(kind).get(name).getJsonObject("spec");
    }

    /**
     * Returns the status of an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @return the status, empty if the object does not exist or has none
     */
    public synchronized Optional<JsonObject> status(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name)).map(object -> object.getJsonObject("status"));
    }

    /**
     * Returns the state in the status of an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @return the state, empty if the object does not exist or has none
     */
    public Optional<String> state(String kind, String name) {
        return status(kind, name).map(status -> status.getString("state"));
    }

    private TreeMap<String, JsonObject> objects(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private void recordChange(Change change) {
        history.add(change);
        List.copyOf(pendingWatches).stream()
                .filter(watch -> watch.kind().equals(change.kind()))
                .forEach(this::completeWatchIfChanged);
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            int delayMs = responseDelay();
            if (delayMs == 0) {
                dispatch(request, body);
            } else {
                vertx.setTimer(delayMs, fired -> dispatch(request, body));
            }
        });
    }

    private synchronized int responseDelay() {
        return responseDelayMs;
    }

    private synchronized void dispatch(HttpServerRequest request, Buffer body) {
        if (unresponsive) {
            return;
        }
        request.response().putHeader(ERA_HEADER, Long.toString(era));
        if (unavailable) {
            request.response().setStatusCode(STATUS_UNAVAILABLE).end();
            return;
        }
        String[] path = request.path().split("/", -1);
        String kind = path[2];
        if (request.method().equals(HttpMethod.GET) && path.length > 3) {
            get(request, kind, path[3]);
        } else if (request.method().equals(HttpMethod.GET)) {
            listOrWatch(request, kind);
        } else {
            StoreWrite write = StoreWrite.of(request, body);
            interceptor.handle(write, () -> apply(write), answer -> answer.sendTo(request));
        }
    }

    /** Applies a write if its condition holds now. */
    private synchronized StoreWrite.Answer apply(StoreWrite write) {
        JsonObject current = objects(write.kind()).get(write.name());
        Optional<StoreWrite.Answer> refusal = write.refusal(Optional.ofNullable(current));
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (write.method().equals(HttpMethod.DELETE)) {
            delete(write.kind(), write.name());
            return new StoreWrite.Answer(200, Optional.empty());
        }
        if (write.ofStatus()) {
            putStatus(write.kind(), write.name(), write.content("status"));
        } else {
            put(write.kind(), write.name(), write.content("spec"));
        }
        return new StoreWrite.Answer(
                write.method().equals(HttpMethod.POST) ? 201 : 200,
                Optional.of(objects(write.kind()).get(write.name())));
    }

    private void get(HttpServerRequest request, String kind, String name) {
        JsonObject object = objects(kind).get(name);
        if (object == null) {
            request.response().setStatusCode(404).end();
        } else {
            request.response().end(encode(object));
        }
    }

    private void listOrWatch(HttpServerRequest request, String kind) {
        String sinceRevision = request.getParam("watch");
        if (sinceRevision == null) {
            list(request, kind, Objects.requireNonNullElse(request.getParam("after"), ""));
            return;
        }
        PendingWatch watch = new PendingWatch(request, kind, Long.parseLong(sinceRevision));
        if (watch.sinceRevision() < historyStartRevision - 1 || watch.sinceRevision() > revision) {
            request.response().setStatusCode(410).end();
        } else if (!completeWatchIfChanged(watch)) {
            pendingWatches.add(watch);
            vertx.setTimer(Math.max(1, Integer.parseInt(request.getParam("waitMs"))), fired -> expireWatch(watch));
        }
    }

    private void list(HttpServerRequest request, String kind, String after) {
        listedKinds.add(kind);
        request.response().end(page(kind, after));
    }

    /**
     * Returns the first page of the list of a kind.
     *
     * @param kind the kind of the objects
     * @return the page as it is sent
     */
    public synchronized String listText(String kind) {
        return page(kind, "").toString();
    }

    private Buffer page(String kind, String after) {
        JsonArray items = new JsonArray();
        Map<String, JsonObject> remaining = objects(kind).tailMap(after, after.isEmpty());
        List<JsonObject> objects = List.copyOf(remaining.values());
        objects.stream().limit(withinAnswer(objects)).forEach(items::add);
        return encode(new JsonObject()
                .put("items", items)
                .put("hasMore", objects.size() > items.size())
                .put("currentRev", revision));
    }

    private boolean completeWatchIfChanged(PendingWatch watch) {
        JsonArray events = new JsonArray();
        List<Change> changes = history.stream()
                .filter(change -> change.kind().equals(watch.kind()) && change.revision() > watch.sinceRevision())
                .toList();
        if (changes.isEmpty()) {
            return false;
        }
        int sent = withinAnswer(changes.stream().map(Change::object).toList());
        changes.stream()
                .limit(sent)
                .forEach(change -> events.add(
                        new JsonObject().put("deleted", change.deleted()).put("object", change.object())));
        long known = sent < changes.size() ? changes.get(sent - 1).revision() : revision;
        pendingWatches.remove(watch);
        watch.request()
                .response()
                .end(encode(new JsonObject().put("events", events).put("currentRev", known)));
        return true;
    }

    /** Returns how many of the first objects one answer holds, at least one if there is any. */
    private static int withinAnswer(List<JsonObject> objects) {
        int bytes = 0;
        int count = 0;
        for (JsonObject object : objects) {
            bytes += object.encode().length();
            if (count == PAGE_SIZE || (count > 0 && bytes > ANSWER_BYTES)) {
                break;
            }
            count++;
        }
        return count;
    }

    private synchronized void expireWatch(PendingWatch watch) {
        if (pendingWatches.remove(watch)) {
            watch.request()
                    .response()
                    .end(new JsonObject()
                            .put("events", new JsonArray())
                            .put("currentRev", revision)
                            .toBuffer());
        }
    }
}
