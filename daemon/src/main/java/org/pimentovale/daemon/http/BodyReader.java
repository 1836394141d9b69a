package org.pimentovale.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** Reads bodies up to a size and within a time. Immutable and thread safe. */
public final class BodyReader {
    private static final int BODY_TIMEOUT_MS = 5_000;

    private final Vertx vertx;
    private final int limitBytes;

    /**
     * Creates a reader.
     *
     * @param vertx runs timers
     * @param limitBytes the largest body
     */
    public BodyReader(Vertx vertx, int limitBytes) {
        this.vertx = vertx;
        this.limitBytes = limitBytes;
    }

    /**
     * Reads a request's body.
     *
     * @param request the request
     * @return the body; fails with {@link ErrorCode#BODY_TOO_LARGE}, {@link ErrorCode#BODY_TIMEOUT} or
     *     {@link ErrorCode#CALLER_LEFT}
     */
    public Future<Buffer> read(HttpServerRequest request) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > limitBytes) {
                promise.tryFail(ServingException.notRun(ErrorCode.BODY_TOO_LARGE, "over " + limitBytes + " bytes"));
            } else if (!promise.future().isComplete()) {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ended -> promise.tryComplete(body));
        request.exceptionHandler(failure ->
                promise.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "before the end of the body")));
        long timer = vertx.setTimer(
                BODY_TIMEOUT_MS,
                fired -> promise.tryFail(
                        ServingException.notRun(ErrorCode.BODY_TIMEOUT, "within " + BODY_TIMEOUT_MS + " ms")));
        return promise.future().andThen(read -> vertx.cancelTimer(timer));
    }
}
