package org.pimentovale.store.http;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.response.ResponseEnd;
import org.pimentovale.response.BodyFraming;
import org.pimentovale.response.FinalStatus;

/**
 * Sends HTTP calls that end within their timeout, or within the extra time of their kind of response if that has begun
 * by then and its bytes go on arriving.
 *
 * <p>A client that identifies its calls sends {@link #CALL_ID} with each of them, and a server of the same product
 * returns it. A response with another identifier belongs to an earlier call on the connection and fails the present
 * one.
 *
 * <p>A call for which no connection could be opened fails with the outcome "not run", any other with "unknown". A
 * response that reports success and whose body ends with its connection fails the call unless {@link ResponseEnd}
 * judges it as whole.
 *
 * <p>Invariants: a response body is held in memory up to a limit, beyond which its call fails; the connection of a
 * timed-out or cancelled call is closed and never reused. Thread safe.
 */
public final class TimedHttpClient {
    /** Header that identifies a call on its connection. */
    public static final String CALL_ID = "Call-Id";

    /** No Content and Not Modified, whose responses end with their heads (RFC 9112, section 6.3). */
    private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

    private static final int FIRST_STATUS_BEYOND_SUCCESS = 300;

    private final Vertx vertx;
    private final HttpClient client;
    private final ErrorCode failureCode;
    private final BodyLimit bodyLimit;
    private final Optional<AtomicLong> lastCallId;
    private final ReceivedMemory memory = BodyLimit.newMemory();

    /**
     * Creates a client for messages.
     *
     * @param vertx runs timers
     * @param client opens connections and sends requests
     * @param failureCode the error code of a call without a complete response
     */
    public TimedHttpClient(Vertx vertx, HttpClient client, ErrorCode failureCode) {
        this(vertx, client, failureCode, BodyLimit.MESSAGES);
    }

    /**
     * Creates a client.
     *
     * @param vertx runs timers
     * @param client opens connections and sends requests
     * @param failureCode the error code of a call without a complete response
     * @param bodyLimit how much of a response body is held
     */
    public TimedHttpClient(Vertx vertx, HttpClient client, ErrorCode failureCode, BodyLimit bodyLimit) {
        this(vertx, client, failureCode, bodyLimit, Optional.empty());
    }

    private TimedHttpClient(
            Vertx vertx,
            HttpClient client,
            ErrorCode failureCode,
            BodyLimit bodyLimit,
            Optional<AtomicLong> lastCallId) {
        this.vertx = vertx;
        this.client = client;
        this.failureCode = failureCode;
        this.bodyLimit = bodyLimit;
        this.lastCallId = lastCallId;
    }

    /**
     * Creates a client that identifies its calls.
     *
     * @param vertx runs timers
     * @param client opens connections and sends requests
     * @param failureCode the error code of a call without a complete response
     * @return the client
     */
    public static TimedHttpClient identifyingCalls(Vertx vertx, HttpClient client, ErrorCode failureCode) {
        return new TimedHttpClient(vertx, client, failureCode, BodyLimit.MESSAGES, Optional.of(new AtomicLong()));
    }

    /**
     * Sends a call.
     *
     * @param httpCall the call
     * @param headers the request headers
     * @return the complete response; fails with this client's error code if there is none within the timeout
     */
    public Future<HttpResponse> call(HttpCall httpCall, MultiMap headers) {
        return call(httpCall, headers, Promise.promise());
    }

    /**
     * Sends a call that the caller may cancel by failing the promise.
     *
     * @param httpCall the call
     * @param headers the request headers
     * @param promise completed with the response
     * @return the promise's future
     */
    public Future<HttpResponse> call(HttpCall httpCall, MultiMap headers, Promise<HttpResponse> promise) {
        RequestOptions options = new RequestOptions()
                .setMethod(httpCall.method())
                .setHost(httpCall.host())
                .setPort(httpCall.port())
                .setURI(httpCall.path())
                .setHeaders(headers);
        CallTimer timer = new CallTimer(vertx, httpCall.timeoutMs(), bodyLimit, failureCode, promise);
        client.request(options)
                .onSuccess(request -> send(request, httpCall, promise, timer))
                .onFailure(failure ->
                        promise.tryFail(ServingException.notRun(failureCode, String.valueOf(failure.getMessage()))));
        timer.start();
        return promise.future();
    }

    /**
     * A call whose request has a connection.
     *
     * @param identifier identifies the call on its connection, empty if the client does not
     * @param written whether all bytes of the request have been passed to the operating system
     * @param timer ends the call
     * @param reservation the memory of the response
     */
    private record SentCall(
            Optional<String> identifier,
            AtomicBoolean written,
            CallTimer timer,
            ReceivedMemory.Reservation reservation) {}

    private void send(HttpClientRequest request, HttpCall httpCall, Promise<HttpResponse> promise, CallTimer timer) {
        // The call ended while it waited for a pooled connection; it must not be sent any more.
        if (promise.future().isComplete()) {
            request.reset();
            return;
        }
        promise.future().onFailure(failure -> request.reset());
        Optional<String> callId = lastCallId.map(last -> Long.toString(last.incrementAndGet()));
        callId.ifPresent(identifier -> request.putHeader(CALL_ID, identifier));
        SentCall sent = new SentCall(callId, new AtomicBoolean(), timer, memory.newReservation());
        request.response()
                .onSuccess(response -> timer.noteHead())
                .compose(response -> read(response, sent))
                .onComplete(result -> {
                    if (result.succeeded()) {
                        promise.tryComplete(result.result());
                    } else {
                        promise.tryFail(toServingException(result.cause()));
                    }
                })
                .onComplete(handled -> sent.reservation().release());
        promise.future().onFailure(failure -> sent.reservation().release());
        Future<Void> end =
                httpCall.body().isPresent() ? request.end(httpCall.body().get()) : request.end();
        end.onSuccess(ended -> sent.written().set(true));
    }

    private Future<HttpResponse> read(HttpClientResponse response, SentCall sent) {
        if (!FinalStatus.isValid(response.statusCode())) {
            return Future.failedFuture(
                    ServingException.unknown(failureCode, "invalid status " + response.statusCode()));
        }
        if (!belongsTo(sent.identifier(), response)) {
            return Future.failedFuture(
                    ServingException.unknown(failureCode, "the response belongs to an earlier call on the connection"));
        }
        return readBody(response, sent);
    }

    /** Tells whether a response is that of a call. One without identifier is from a server that returns none. */
    private static boolean belongsTo(Optional<String> callId, HttpClientResponse response) {
        String returned = response.getHeader(CALL_ID);
        return callId.isEmpty() || returned == null || returned.equals(callId.get());
    }

    private Future<HttpResponse> readBody(HttpClientResponse response, SentCall sent) {
        BodyFraming framing = framingOf(response);
        if (bodyLimit.needsMarkedEnd() && !framing.marksEnd()) {
            return Future.failedFuture(
                    ServingException.unknown(failureCode, "nothing but the connection marks the end of the body"));
        }
        Promise<HttpResponse> complete = Promise.promise();
        BoundedBody body = bodyLimit.newBody(sent.reservation());
        response.handler(part -> {
            sent.timer().noteBytes();
            BoundedBody.Outcome outcome = append(body, part);
            if (outcome != BoundedBody.Outcome.APPENDED) {
                complete.tryFail(refusal(outcome));
            }
        });
        response.exceptionHandler(complete::tryFail);
        response.endHandler(ended -> {
            ResponseEnd end =
                    judge(response.statusCode(), framing, sent.written().get(), body.content());
            if (end == ResponseEnd.WHOLE) {
                complete.tryComplete(new HttpResponse(response.statusCode(), response.headers(), body.content()));
            } else {
                complete.tryFail(ServingException.unknown(failureCode, end.description()));
            }
        });
        return complete.future();
    }

    private static BoundedBody.Outcome append(BoundedBody body, Buffer part) {
        try {
            return body.append(part);
        } catch (OutOfMemoryError shortage) {
            return BoundedBody.Outcome.NO_MEMORY;
        }
    }

    private ServingException refusal(BoundedBody.Outcome outcome) {
        return outcome == BoundedBody.Outcome.TOO_LONG
                ? ServingException.unknown(failureCode, "body exceeds " + bodyLimit.maxBytes() + " bytes")
                : ServingException.unknown(bodyLimit.shortageCode(failureCode), "no memory for the response");
    }

    /** Judges the end of a response. Of a failure the status is enough, and it must not be lost with the body. */
    private static ResponseEnd judge(int status, BodyFraming framing, boolean requestWritten, Buffer body) {
        return status < FIRST_STATUS_BEYOND_SUCCESS
                ? ResponseEnd.judgeJson(framing, requestWritten, body::getBytes)
                : ResponseEnd.WHOLE;
    }

    private static BodyFraming framingOf(HttpClientResponse response) {
        return STATUSES_WITHOUT_BODY.contains(response.statusCode())
                ? BodyFraming.LENGTH
                : BodyFraming.of(
                        response.version() == HttpVersion.HTTP_1_1,
                        Optional.ofNullable(response.getHeader("Transfer-Encoding")),
                        Optional.ofNullable(response.getHeader("Content-Length")));
    }

    private ServingException toServingException(Throwable cause) {
        if (cause instanceof OutOfMemoryError) {
            return ServingException.unknown(bodyLimit.shortageCode(failureCode), cause.getMessage());
        }
        return cause instanceof ServingException failure
                ? failure
                : ServingException.unknown(failureCode, String.valueOf(cause.getMessage()));
    }
}
