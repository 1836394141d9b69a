package org.pimentovale.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;

/**
 * Writes the answer to one caller.
 *
 * <p>Invariant: one answer is begun, and an answer that cannot be finished ends with its connection, so that it does
 * not look complete. Not thread safe; used on one event loop.
 */
public final class CallerResponse {
    private static final String RETRY_AFTER = "Retry-After";
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final double MS_PER_SECOND = 1_000;

    private final HttpServerRequest http;
    private final BooleanSupplier draining;

    /**
     * Creates the answer to a request.
     *
     * @param http the request
     * @param draining whether this gateway shuts down, so that the caller's connection is to end
     */
    public CallerResponse(HttpServerRequest http, BooleanSupplier draining) {
        this.http = http;
        this.draining = draining;
    }

    /**
     * Writes a whole answer of an endpoint.
     *
     * @param status the status
     * @param reason the status text
     * @param headers the headers
     * @param body the body
     */
    public void sendComplete(int status, String reason, MultiMap headers, Buffer body) {
        HttpServerResponse response = start(status, reason, headers);
        response.end(body);
    }

    /**
     * Begins an answer of an endpoint whose body comes in parts.
     *
     * @param status the status
     * @param reason the status text
     * @param headers the headers
     * @return the response, to which parts are written
     */
    public HttpServerResponse startChunked(int status, String reason, MultiMap headers) {
        return start(status, reason, headers).setChunked(true);
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
     * Writes a failure.
     *
     * @param failure the failure; where the request may have run, its status promises nothing
     * @param retryAfterMs when the caller may come back, in milliseconds
     * @return the status
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
        response.end("{\"code\":\"" + failure.code().label() + "\",\"outcome\":\""
                + failure.outcome().label() + "\"}");
        return status;
    }

    private static int statusOf(ServingException failure) {
        int status = failure.code().status();
        if (failure.outcome() == Outcome.NOT_RUN) {
            // Only this status promises callers that nothing has run and nothing will.
            boolean ambiguous = status == 502 || status == 504 || status == STATUS_UNPROCESSABLE;
            return ambiguous ? STATUS_UNAVAILABLE : status;
        }
        return status == 504 ? 504 : 502;
    }

    /** Ends an answer that was begun and cannot be finished. */
    public void abort() {
        http.connection().close();
    }

    /**
     * Tells whether an answer was begun.
     *
     * @return whether its head was written
     */
    public boolean started() {
        return http.response().headWritten();
    }
}
