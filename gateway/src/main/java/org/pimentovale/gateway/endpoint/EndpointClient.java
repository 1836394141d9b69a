package org.pimentovale.gateway.endpoint;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.response.FinalStatus;

/**
 * Sends requests to endpoints, each over a new connection.
 *
 * <p>A new connection cannot be stale, cannot be closed by an idle timeout while the request is sent, and cannot carry
 * bytes of another response. Invariant: a connection is closed when its request ends, whether it succeeds, fails or is
 * cancelled. Thread safe.
 */
public final class EndpointClient {
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final HttpClient client;

    /** A request in progress. Not thread safe; used on one event loop. */
    public static final class PendingRequest {
        private final Promise<HttpClientResponse> head = Promise.promise();
        private final Consumer<HttpClientResponse> observer;
        private Optional<HttpClientRequest> request = Optional.empty();
        private boolean written;

        private PendingRequest(Consumer<HttpClientResponse> observer) {
            this.observer = observer;
        }

        /**
         * Returns the head of the response. The body is paused until the response is resumed.
         *
         * @return the head; fails with {@link ErrorCode#CONNECT_FAILED} if nothing was sent, with {@link
         *     ErrorCode#CALLER_LEFT} after {@link #cancel}, with {@link ErrorCode#ANSWER_MISMATCHED} if the status is
         *     not that of a final response, otherwise with {@link ErrorCode#CONNECTION_LOST}
         */
        public Future<HttpClientResponse> head() {
            return head.future();
        }

        /**
         * Tells whether the request was written as a whole.
         *
         * @return whether all its bytes were passed to the operating system
         */
        public boolean written() {
            return written;
        }

        /** Cancels the request and closes its connection, so that the endpoint stops processing it. */
        public void cancel() {
            head.tryFail(ServingException.unknown(ErrorCode.CALLER_LEFT, "request cancelled"));
            request.ifPresent(HttpClientRequest::reset);
        }
    }

    /**
     * Creates a client.
     *
     * @param client an HTTP client without keep-alive
     */
    public EndpointClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Sends a request.
     *
     * @param address the endpoint's host and port, as {@code host:port}
     * @param method the HTTP method
     * @param uri path and query
     * @param headers the complete request headers
     * @param body the body, empty for a request without one
     * @param observer receives the response before {@link PendingRequest#head}, also if the request was cancelled
     * @return the request in progress
     */
    public PendingRequest send(
            String address,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Optional<Buffer> body,
            Consumer<HttpClientResponse> observer) {
        PendingRequest pending = new PendingRequest(observer);
        int colon = address.lastIndexOf(':');
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setURI(uri)
                .setHeaders(headers);
        client.request(options)
                .onFailure(failure -> pending.head.tryFail(
                        ServingException.notRun(ErrorCode.CONNECT_FAILED, address + ": " + failure.getMessage())))
                .onSuccess(request -> write(request, body, pending));
        return pending;
    }

    /** Ends a request whose endpoint sends interim responses without end. */
    private static void limitInterimResponses(HttpClientRequest request, PendingRequest pending) {
        AtomicInteger received = new AtomicInteger();
        request.continueHandler(interim -> {
            if (received.incrementAndGet() > MAX_INTERIM_RESPONSES) {
                pending.head.tryFail(ServingException.unknown(
                        ErrorCode.ANSWER_MISMATCHED, "more than " + MAX_INTERIM_RESPONSES + " interim responses"));
                request.reset();
            }
        });
    }

    private static void write(HttpClientRequest request, Optional<Buffer> body, PendingRequest pending) {
        if (pending.head.future().isComplete()) {
            request.reset();
            return;
        }
        pending.request = Optional.of(request);
        request.response().onComplete(result -> {
            if (result.failed()) {
                pending.head.tryFail(ServingException.unknown(
                        ErrorCode.CONNECTION_LOST, String.valueOf(result.cause().getMessage())));
                return;
            }
            if (!FinalStatus.isValid(result.result().statusCode())) {
                pending.head.tryFail(ServingException.unknown(
                        ErrorCode.ANSWER_MISMATCHED,
                        "invalid status " + result.result().statusCode()));
                request.reset();
                return;
            }
            pending.observer.accept(result.result());
            if (!pending.head.tryComplete(result.result().pause())) {
                request.reset();
            }
        });
        limitInterimResponses(request, pending);
        Future<Void> end = body.isPresent() ? request.end(body.get()) : request.end();
        end.onSuccess(ended -> pending.written = true);
    }
}
