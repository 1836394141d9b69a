package org.pimentovale.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.JsonSlice;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Client of a platform with an HTTP API. Entity tags hold the versions of objects; conditional writes use {@code
 * If-Match} and {@code If-None-Match}; {@code Store-Era} names the era.
 *
 * <p>Invariant: a call ends within the call timeout, a watch within its wait time and a margin; the connection of a
 * timed-out call is closed and never reused. Thread safe.
 */
public final class HttpPlatform implements Platform, ObjectStore {
    private static final Logger LOG = Logger.getLogger(HttpPlatform.class);
    private static final int CONNECTION_POOL_SIZE = 16;
    private static final int WATCH_CONNECTION_POOL_SIZE = 256;
    private static final int IDLE_TIMEOUT_S = 5;
    private static final int WATCH_TIMEOUT_MARGIN_MS = 1_000;
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final String ERA_HEADER = "Store-Era";

    private final TimedHttpClient client;
    private final TimedHttpClient watchClient;
    private final String address;
    private final int callTimeoutMs;
    private final AtomicLong era = new AtomicLong();

    private record StoreResponse(int status, long version, Buffer body) {}

    /**
     * Creates a client.
     *
     * @param vertx runs timers and connections
     * @param address host and port of the platform's API
     * @param callTimeoutMs the timeout of a call other than a watch, in milliseconds
     */
    public HttpPlatform(Vertx vertx, String address, int callTimeoutMs) {
        this.address = address;
        this.callTimeoutMs = callTimeoutMs;
        HttpClientOptions options =
                new HttpClientOptions().setConnectTimeout(callTimeoutMs).setKeepAliveTimeout(IDLE_TIMEOUT_S);
        this.client = createClient(vertx, options, CONNECTION_POOL_SIZE);
        this.watchClient = createClient(vertx, options, WATCH_CONNECTION_POOL_SIZE);
    }

    private static TimedHttpClient createClient(Vertx vertx, HttpClientOptions options, int poolSize) {
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(poolSize);
        return new TimedHttpClient(vertx, vertx.createHttpClient(options, pool), ErrorCode.STORE_UNAVAILABLE);
    }

    @Override
    public ObjectStore objectStore() {
        return this;
    }

    @Override
    public long era() {
        return era.get();
    }

    @Override
    public Future<List<PlatformInstance>> instances() {
        return call(HttpMethod.GET, "/v1/instances", 0, null, callTimeoutMs).map(response -> {
            List<PlatformInstance> instances = new ArrayList<>();
            for (JsonSlice entry : elements(response)) {
                decode("instances", entry, HttpPlatform::toInstance).ifPresent(instances::add);
            }
            return instances;
        });
    }

    @Override
    public Future<Optional<StoredObject>> read(String kind, String name) {
        return call(HttpMethod.GET, path(kind, name), 0, null, callTimeoutMs)
                .map(response -> response.status() == 404
                        ? Optional.empty()
                        : Optional.of(toStoredObject(kind, name, requireSuccess(response))));
    }

    @Override
    public Future<List<StoredObject>> list(String kind) {
        return call(HttpMethod.GET, "/v1/objects/" + kind, 0, null, callTimeoutMs)
                .map(response -> {
                    List<StoredObject> objects = new ArrayList<>();
                    for (JsonSlice entry : elements(response)) {
                        decode(kind, entry, object -> toStoredObject(kind, object))
                                .ifPresent(objects::add);
                    }
                    return objects;
                });
    }

    private static List<JsonSlice> elements(StoreResponse response) {
        return JsonSlice.of(requireSuccess(response).body().getBytes()).elements();
    }

    /** Decodes an element of a list; one that cannot be decoded is left out alone. */
    private static <T> Optional<T> decode(String kind, JsonSlice element, Function<JsonNode, T> decoder) {
        try {
            return Optional.of(decoder.apply(element.parse()));
        } catch (ServingException | IllegalArgumentException malformed) {
            Events.warn(LOG, "object_rejected", "kind", kind, "failure", malformed.getMessage());
            return Optional.empty();
        }
    }

    private static PlatformInstance toInstance(JsonNode instance) {
        return new PlatformInstance(
                text(instance, "address"),
                "leaving".equals(instance.path("state").textValue()));
    }

    private static StoredObject toStoredObject(String kind, JsonNode object) {
        JsonNode version = object.path("version");
        if (!version.isIntegralNumber() || !version.canConvertToLong()) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "version is not an integer");
        }
        return new StoredObject(
                kind,
                text(object, "name"),
                version.longValue(),
                Base64.getUrlDecoder().decode(text(object, "value")));
    }

    private static String text(JsonNode object, String field) {
        JsonNode value = object.path(field);
        if (!value.isTextual()) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, field + " is not a string");
        }
        return value.textValue();
    }

    @Override
    public Future<WriteResult> create(String kind, String name, byte[] value) {
        return write(kind, name, 0, value);
    }

    @Override
    public Future<WriteResult> update(String kind, String name, long version, byte[] value) {
        return write(kind, name, version, value);
    }

    private Future<WriteResult> write(String kind, String name, long version, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.OBJECT_TOO_LARGE, kind + "/" + name));
        }
        return call(HttpMethod.PUT, path(kind, name), version, Buffer.buffer(value), callTimeoutMs)
                .map(response -> {
                    if (response.status() == 412) {
                        return new WriteResult.Conflict(
                                response.version() == 0
                                        ? Optional.empty()
                                        : Optional.of(toStoredObject(kind, name, response)));
                    }
                    long written = requireSuccess(response).version();
                    return new WriteResult.Accepted(new StoredObject(kind, name, written, value));
                });
    }

    @Override
    public Future<Boolean> delete(String kind, String name, long version) {
        return call(HttpMethod.DELETE, path(kind, name), version, null, callTimeoutMs)
                .map(response -> response.status() == 204 || response.status() == 404);
    }

    @Override
    public Future<Optional<StoredObject>> awaitChange(String kind, String name, long knownVersion, int waitMs) {
        String query = "?known_version=" + knownVersion + "&wait_ms=" + waitMs;
        // Watches use a separate connection pool so that they do not block other calls.
        return call(watchClient, HttpMethod.GET, path(kind, name) + query, 0, null, waitMs + WATCH_TIMEOUT_MARGIN_MS)
                .map(response -> response.status() == 304 || response.status() == 404
                        ? Optional.empty()
                        : Optional.of(toStoredObject(kind, name, requireSuccess(response))));
    }

    private static String path(String kind, String name) {
        return "/v1/objects/" + kind + "/" + name;
    }

    private static StoredObject toStoredObject(String kind, String name, StoreResponse response) {
        return new StoredObject(kind, name, response.version(), response.body().getBytes());
    }

    private static StoreResponse requireSuccess(StoreResponse response) {
        if (response.status() >= 300) {
            throw ServingException.unknown(
                    ErrorCode.STORE_UNAVAILABLE, "store responded with status " + response.status());
        }
        return response;
    }

    private Future<StoreResponse> call(HttpMethod method, String path, long version, Buffer body, int timeoutMs) {
        return call(client, method, path, version, body, timeoutMs);
    }

    private Future<StoreResponse> call(
            TimedHttpClient httpClient, HttpMethod method, String path, long version, Buffer body, int timeoutMs) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        if (method.equals(HttpMethod.PUT)) {
            headers.set(version == 0 ? "If-None-Match" : "If-Match", version == 0 ? "*" : entityTag(version));
        }
        if (method.equals(HttpMethod.DELETE)) {
            headers.set("If-Match", entityTag(version));
        }
        HttpCall httpCall = new HttpCall(address, method, path, Optional.ofNullable(body), timeoutMs);
        return httpClient
                .call(httpCall, headers)
                .map(this::toStoreResponse)
                .recover(failure -> Future.failedFuture(toStoreUnavailable(failure)));
    }

    private StoreResponse toStoreResponse(HttpResponse response) {
        String namedEra = response.headers().get(ERA_HEADER);
        if (namedEra != null) {
            era.accumulateAndGet(Long.parseLong(namedEra.trim()), Math::max);
        }
        String tag = response.headers().get("ETag");
        long version = tag == null ? 0 : Long.parseLong(tag.replace("\"", ""));
        return new StoreResponse(response.status(), version, response.body());
    }

    private static ServingException toStoreUnavailable(Throwable cause) {
        return cause instanceof ServingException failure
                ? failure
                : ServingException.unknown(ErrorCode.STORE_UNAVAILABLE, String.valueOf(cause.getMessage()));
    }

    private static String entityTag(long version) {
        return "\"" + version + "\"";
    }
}
