package org.pimentovale.gateway.caller;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;

/**
 * Writes the response to one caller's request.
 *
 * <p>Invariants: at most one response is started, and a response that cannot be completed closes its connection, so
 * that the caller does not take it for complete. Not thread safe; used on one event loop.
 */
public final class CallerResponse {
    private static final String RETRY_AFTER = "Retry-After";
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final double MS_PER_SECOND = 1_000;

    private final HttpServerRequest http;
    private final BooleanSupplier draining;
    private final Promise<Void> written = Promise.promise();

    /**
     * Creates the response to a request.
     *
     * @param http the request
     * @param draining whether this gateway shuts down; responses then carry {@code Connection: close}
     */
    public CallerResponse(HttpServerRequest http, BooleanSupplier draining) {
        this.http = http;
        this.draining = draining;
    }

    /**
     * Writes a complete response of an endpoint.
     *
     * @param status the HTTP status
     * @param reason the reason phrase; null or empty for the default
     * @param headers the headers to pass on
     * @param body the complete body
     */
    public void sendComplete(int status, String reason, MultiMap headers, Buffer body) {
        trackEnd(start(status, reason, headers).end(body));
    }

    private void trackEnd(Future<Void> end) {
        end.onComplete(ended -> written.tryComplete());
    }

    /**
     * Tells whether the caller understands chunks, without which the end of a connection is the end of the body.
     *
     * @return false for a caller of HTTP/1.0
     */
    public boolean takesChunks() {
        return http.version() != HttpVersion.HTTP_1_0;
    }

    /**
     * Starts a chunked response of an endpoint.
     *
     * @param status the HTTP status
     * @param reason the reason phrase; null or empty for the default
     * @param headers the headers to pass on
     * @return the response, to which the caller of this method writes the chunks
     */
    public HttpServerResponse startChunked(int status, String reason, MultiMap headers) {
        return start(status, reason, headers).setChunked(true);
    }

    /** Ends a chunked response. */
    public void endChunked() {
        trackEnd(http.response().end());
    }

    private HttpServerResponse start(int status, String reason, MultiMap headers) {
        HttpServerResponse response = http.response();
        response.setStatusCode(status);
        if (reason != null && !reason.isEmpty()) {
            response.setStatusMessage(reason);
        }
        response.headers().addAll(headers);
        if (draining.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
        return response;
    }

    /**
     * Writes an error response. Its status is 502 or 504 if the request may have run.
     *
     * @param failure the failure to report
     * @param retryAfterMs the delay for the {@code Retry-After} header in milliseconds; sent with status 503 only
     * @return the HTTP status that was sent
     */
    public int sendFailure(ServingException failure, long retryAfterMs) {
        int status = statusOf(failure);
        HttpServerResponse response = http.response();
        response.setStatusCode(status).putHeader("Content-Type", "application/json");
        if (status == STATUS_UNAVAILABLE) {
            response.putHeader(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_SECOND));
        }
        if (draining.getAsBoolean()) {
            response.putHeader("Connection", "close");
        }
        trackEnd(response.end("{\"code\":\"" + failure.code().label() + "\",\"outcome\":\""
                + failure.outcome().label() + "\"}"));
        return status;
    }

    private static int statusOf(ServingException failure) {
        int status = failure.code().status();
        if (failure.outcome() == Outcome.NOT_RUN) {
            // Of these statuses only 503 guarantees callers that the request has not run and will not run.
            boolean ambiguous = status == 502 || status == 504 || status == STATUS_UNPROCESSABLE;
            return ambiguous ? STATUS_UNAVAILABLE : status;
        }
        return status == 504 ? 504 : 502;
    }

    /** Closes the caller's connection because a started response cannot be completed. */
    public void abort() {
        http.connection().close();
        written.tryComplete();
    }

    /** Records that the connection was closed, so that nothing more is written. */
    public void connectionClosed() {
        written.tryComplete();
    }

    /**
     * Returns when nothing of the response is left in this process, which is later than its end if the caller reads
     * slowly.
     *
     * @return completes when all bytes were passed to the operating system, or the connection was closed
     */
    public Future<Void> written() {
        return written.future();
    }

    /**
     * Tells whether the response has been started.
     *
     * @return whether its head has been written
     */
    public boolean started() {
        return http.response().headWritten();
    }
}
