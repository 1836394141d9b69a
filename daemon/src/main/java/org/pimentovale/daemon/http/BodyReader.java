package org.pimentovale.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/** Reads request bodies, limited in size and time. Immutable and thread safe. */
public final class BodyReader {
    private static final int BODY_TIMEOUT_MS = 5_000;

    private final Vertx vertx;
    private final int limitBytes;

    /**
     * Creates a reader.
     *
     * @param vertx runs timers
     * @param limitBytes maximum size of a body in bytes
     */
    public BodyReader(Vertx vertx, int limitBytes) {
        this.vertx = vertx;
        this.limitBytes = limitBytes;
    }

    /**
     * Reads the body of a request.
     *
     * @param request request whose body has not been read
     * @return the body; fails with {@link ErrorCode#BODY_TOO_LARGE}, {@link ErrorCode#BODY_TIMEOUT} or
     *     {@link ErrorCode#CALLER_LEFT}
     */
    public Future<Buffer> read(HttpServerRequest request) {
        Promise<Buffer> promise = Promise.promise();
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > limitBytes) {
                promise.tryFail(
                        ServingException.notRun(ErrorCode.BODY_TOO_LARGE, "larger than " + limitBytes + " bytes"));
            } else if (!promise.future().isComplete()) {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ended -> promise.tryComplete(body));
        request.exceptionHandler(failure -> promise.tryFail(
                ServingException.notRun(ErrorCode.CALLER_LEFT, "caller disconnected before the end of the body")));
        long timer = vertx.setTimer(
                BODY_TIMEOUT_MS,
                fired -> promise.tryFail(ServingException.notRun(
                        ErrorCode.BODY_TIMEOUT, "not complete within " + BODY_TIMEOUT_MS + " ms")));
        return promise.future().andThen(read -> vertx.cancelTimer(timer));
    }
}
