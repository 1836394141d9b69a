package org.pimentovale.standin.fleet;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * A write as the store receives it. Immutable, if the body is not changed, and thread safe.
 *
 * @param method POST creates an object, PUT replaces its specification or its status, DELETE removes it
 * @param kind the kind of the object
 * @param name the name of the object
 * @param ofStatus whether the status is written instead of the specification
 * @param body the body, empty for DELETE
 * @param expectedRevision the revision that the object must have, empty if the write is unconditional
 * @param listenerPort the port of the store's listener that received the write
 */
public record StoreWrite(
        HttpMethod method,
        String kind,
        String name,
        boolean ofStatus,
        JsonObject body,
        Optional<Long> expectedRevision,
        int listenerPort) {
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;

    /** The store's answer; the object is the present one. */
    record Answer(int status, Optional<JsonObject> object) {
        void sendTo(HttpServerRequest request) {
            request.response().setStatusCode(status);
            if (object.isPresent()) {
                request.response().end(object.get().toBuffer());
            } else {
                request.response().end();
            }
        }
    }

    static StoreWrite of(HttpServerRequest request, Buffer body) {
        String[] path = request.path().split("/", -1);
        JsonObject document = body.length() == 0 ? new JsonObject() : body.toJsonObject();
        JsonObject metadata = document.getJsonObject("metadata", new JsonObject());
        Optional<Long> queried =
                Optional.ofNullable(request.getParam("revision")).map(Long::valueOf);
        return new StoreWrite(
                request.method(),
                path[2],
                path.length > 3 ? path[3] : metadata.getString("name"),
                path.length > 4 && path[4].equals("status"),
                document,
                queried.or(() -> Optional.ofNullable(metadata.getLong("revision"))),
                request.localAddress().port());
    }

    Object content(String field) {
        return body.getValue(field);
    }

    /** Returns the answer to this write if the object's present state forbids it, empty if it can be applied. */
    Optional<Answer> refusal(Optional<JsonObject> current) {
        if (method.equals(HttpMethod.POST)) {
            return current.map(object -> new Answer(STATUS_CONFLICT, current));
        }
        if (current.isEmpty()) {
            return ofStatus || expectedRevision.isPresent()
                    ? Optional.of(new Answer(STATUS_NOT_FOUND, current))
                    : Optional.empty();
        }
        long revision = current.get().getJsonObject("metadata").getLong("revision");
        return expectedRevision
                .filter(expected -> expected != revision)
                .map(expected -> new Answer(STATUS_CONFLICT, current));
    }
}
