package org.pimentovale.daemon.endpoint;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pimentovale.daemon.protocol.ResponseReader;
import org.pimentovale.daemon.protocol.StageProtocol;
import org.pimentovale.daemon.protocol.StageRequest;
import org.pimentovale.daemon.protocol.StageResult;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.response.BodyFraming;
import org.pimentovale.response.FinalStatus;
import org.pimentovale.table.Pool;

/**
 * One request to an endpoint and its response, over one connection.
 *
 * <p>Invariants: the result is completed once, and data that arrives later is ignored; the connection is returned to
 * the pool only after the endpoint ended a complete response, and is closed in every other case. Not thread safe; used
 * on the event loop of its connection.
 */
public final class StageExchange {
    private static final int TRAILING_BODY_TIMEOUT_MS = 500;
    private static final int FENCED_STATUS = 412;
    private static final String ECHO_HEADER = "X-Request-Id";

    private final Vertx vertx;
    private final EndpointConnectionPool connections;
    private final EndpointConnection connection;
    private final Pool pool;
    private final StageProtocol protocol;
    private final StageRequest stageRequest;
    private final Consumer<String> deltaHandler;
    private final Optional<Long> fencingToken;
    private final Promise<StageResult> promise = Promise.promise();
    private HttpClientResponse response;
    private ResponseReader reader;
    private boolean requestWritten;
    private boolean paused;
    private boolean connectionReleased;
    private long progressTimer = -1;

    /**
     * Creates an exchange.
     *
     * @param vertx runs the timers
     * @param connections the pool to which the connection is returned
     * @param connection a connection used by no other exchange
     * @param pool the endpoint's pool
     * @param protocol encodes the request and decodes the response
     * @param stageRequest the request to send
     * @param deltaHandler receives each text delta of a streamed response
     * @param fencingToken the version of the warm-up lease under which the request is sent, or empty
     */
    public StageExchange(
            Vertx vertx,
            EndpointConnectionPool connections,
            EndpointConnection connection,
            Pool pool,
            StageProtocol protocol,
            StageRequest stageRequest,
            Consumer<String> deltaHandler,
            Optional<Long> fencingToken) {
        this.vertx = vertx;
        this.connections = connections;
        this.connection = connection;
        this.pool = pool;
        this.protocol = protocol;
        this.stageRequest = stageRequest;
        this.deltaHandler = deltaHandler;
        this.fencingToken = fencingToken;
    }

    /**
     * Sends the request.
     *
     * @param lastCheck called after the request was encoded, immediately before it is written; returns why it must not
     *     be sent, or empty
     * @param onSent called after the request was written, unless the exchange has failed by then
     * @return the complete result, or a failure with its code; {@link ErrorCode#CONNECT_FAILED} or
     *     the code of the last check if nothing was sent
     */
    public Future<StageResult> send(Supplier<Optional<ErrorCode>> lastCheck, Runnable onSent) {
        Buffer body = Buffer.buffer(protocol.body(stageRequest));
        connection
                .connection()
                .request(options())
                .onSuccess(request -> sendRequest(request, body, lastCheck, onSent))
                .onFailure(failure -> fail(ServingException.notRun(
                        ErrorCode.CONNECT_FAILED, "connection closed before the request was sent")));
        return promise.future();
    }

    private RequestOptions options() {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setURI(protocol.path(stageRequest))
                .putHeader("Content-Type", "application/json")
                .putHeader(ECHO_HEADER, stageRequest.attemptIdentifier())
                .putHeader("Request-Timeout-Ms", Long.toString(stageRequest.remainingMs()));
        stageRequest.idempotencyKey().ifPresent(key -> options.putHeader("Idempotency-Key", key));
        stageRequest.traceparent().ifPresent(trace -> options.putHeader("traceparent", trace));
        fencingToken.ifPresent(token -> options.putHeader("Fencing-Token", token.toString()));
        return options;
    }

    private void sendRequest(
            HttpClientRequest request, Buffer body, Supplier<Optional<ErrorCode>> lastCheck, Runnable onSent) {
        if (promise.future().isComplete()) {
            return;
        }
        restartProgressTimer();
        Optional<ErrorCode> rejection = lastCheck.get();
        if (rejection.isPresent()) {
            fail(ServingException.notRun(rejection.get(), "immediately before the request was written"));
            return;
        }
        request.response().onSuccess(this::handleResponse).onFailure(failure -> fail(connectionLost(failure)));
        request.end(body).onSuccess(ended -> requestWritten = true);
        if (!promise.future().isComplete()) {
            onSent.run();
        }
    }

    private void handleResponse(HttpClientResponse httpResponse) {
        if (promise.future().isComplete()) {
            return;
        }
        response = httpResponse;
        String echoedIdentifier = httpResponse.getHeader(ECHO_HEADER);
        if (echoedIdentifier != null && !echoedIdentifier.equals(stageRequest.attemptIdentifier())) {
            fail(ServingException.unknown(
                    ErrorCode.ANSWER_MISMATCHED, "response belongs to attempt " + echoedIdentifier));
            return;
        }
        int status = httpResponse.statusCode();
        if (!FinalStatus.isValid(status)) {
            fail(ServingException.unknown(ErrorCode.ANSWER_MISMATCHED, "invalid status " + status));
            return;
        }
        boolean fenced = fencingToken.isPresent() && status == FENCED_STATUS;
        if (fenced || pool.refusalStatuses().contains(status)) {
            failAfterBody(ServingException.notRun(ErrorCode.ENDPOINT_REFUSED, "status " + status));
            return;
        }
        boolean hasStageResult = status < 300
                || (status < 500 && status >= 400 && protocol.name().equals("service"));
        if (!hasStageResult) {
            failAfterBody(ServingException.unknown(ErrorCode.ENDPOINT_FAILED, "status " + status));
            return;
        }
        reader = protocol.createReader(stageRequest, status, deltaHandler);
        httpResponse.exceptionHandler(failure -> fail(connectionLost(failure)));
        httpResponse.handler(this::handleChunk);
        httpResponse.endHandler(ended -> handleEnd());
    }

    private static ServingException connectionLost(Throwable failure) {
        return ServingException.unknown(ErrorCode.CONNECTION_LOST, String.valueOf(failure.getMessage()));
    }

    private void failAfterBody(ServingException failure) {
        response.body().onComplete(read -> {
            if (read.succeeded() && promise.tryFail(failure)) {
                stopProgressTimer();
                releaseConnection();
            } else {
                fail(failure);
            }
        });
    }

    private void handleChunk(Buffer chunk) {
        if (promise.future().isComplete()) {
            return;
        }
        restartProgressTimer();
        try {
            reader.accept(chunk);
        } catch (ServingException failure) {
            fail(failure);
            return;
        }
        if (reader.terminated()) {
            complete();
        }
    }

    private void handleEnd() {
        if (!promise.future().isComplete()) {
            complete();
        }
        releaseConnection();
    }

    private void complete() {
        try {
            StageResult result = reader.finish(framing(), requestWritten);
            stopProgressTimer();
            promise.tryComplete(result);
            vertx.setTimer(TRAILING_BODY_TIMEOUT_MS, fired -> {
                if (!connectionReleased) {
                    discardConnection();
                }
            });
        } catch (ServingException failure) {
            fail(failure);
        }
    }

    private BodyFraming framing() {
        return BodyFraming.of(
                response.version() == HttpVersion.HTTP_1_1,
                Optional.ofNullable(response.getHeader("Transfer-Encoding")),
                Optional.ofNullable(response.getHeader("Content-Length")));
    }

    private void fail(ServingException failure) {
        stopProgressTimer();
        discardConnection();
        promise.tryFail(failure);
    }

    private void releaseConnection() {
        if (!connectionReleased) {
            connectionReleased = true;
            connections.release(connection);
        }
    }

    private void discardConnection() {
        if (!connectionReleased) {
            connectionReleased = true;
            connections.discard(connection);
        }
    }

    /** Cancels the exchange: the connection is closed, and nothing that the endpoint still sends is read. */
    public void cancel() {
        fail(ServingException.unknown(ErrorCode.CALLER_LEFT, "exchange abandoned"));
    }

    /** Stops reading from the endpoint while the caller reads too slowly; suspends the progress timeout. */
    public void pause() {
        if (response != null && !paused && !promise.future().isComplete()) {
            paused = true;
            stopProgressTimer();
            response.pause();
        }
    }

    /** Resumes reading from the endpoint and restarts the progress timeout. */
    public void resume() {
        if (paused) {
            paused = false;
            restartProgressTimer();
            response.resume();
        }
    }

    private void restartProgressTimer() {
        stopProgressTimer();
        if (!paused) {
            progressTimer = vertx.setTimer(pool.progressTimeoutMs(), fired -> {
                progressTimer = -1;
                fail(ServingException.unknown(
                        ErrorCode.PROGRESS_TIMEOUT, "no data received for " + pool.progressTimeoutMs() + " ms"));
            });
        }
    }

    private void stopProgressTimer() {
        if (progressTimer >= 0) {
            vertx.cancelTimer(progressTimer);
            progressTimer = -1;
        }
    }
}
