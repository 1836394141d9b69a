package org.pimentovale.store.http;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Makes calls that end within their time-out.
 *
 * <p>A call that found no connection fails as not run, any other as unknown.
 *
 * <p>Invariant: the connection of a timed-out or cancelled call is closed and never reused. Thread safe.
 */
public final class TimedHttpClient {
    private final Vertx vertx;
    private final HttpClient client;
    private final ErrorCode failureCode;

    /**
     * Creates a client.
     *
     * @param vertx runs timers
     * @param client makes connections
     * @param failureCode the code of a call without an answer
     */
    public TimedHttpClient(Vertx vertx, HttpClient client, ErrorCode failureCode) {
        this.vertx = vertx;
        this.client = client;
        this.failureCode = failureCode;
    }

    /**
     * Makes a call.
     *
     * @param httpCall the call
     * @param headers headers to send
     * @return the whole answer; fails with this client's code where there was none in time
     */
    public Future<HttpResponse> call(HttpCall httpCall, MultiMap headers) {
        return call(httpCall, headers, Promise.promise());
    }

    /**
     * Makes a call that its caller may end early by failing the promise.
     *
     * @param httpCall the call
     * @param headers headers to send
     * @param promise receives the answer
     * @return the promise's future
     */
    public Future<HttpResponse> call(HttpCall httpCall, MultiMap headers, Promise<HttpResponse> promise) {
        RequestOptions options = new RequestOptions()
                .setMethod(httpCall.method())
                .setHost(httpCall.host())
                .setPort(httpCall.port())
                .setURI(httpCall.path())
                .setHeaders(headers);
        client.request(options)
                .onSuccess(request -> send(request, httpCall, promise))
                .onFailure(failure ->
                        promise.tryFail(ServingException.notRun(failureCode, String.valueOf(failure.getMessage()))));
        long timer = vertx.setTimer(
                Math.max(1, httpCall.timeoutMs()),
                fired -> promise.tryFail(
                        ServingException.unknown(failureCode, "no answer within " + httpCall.timeoutMs() + " ms")));
        return promise.future().andThen(result -> vertx.cancelTimer(timer));
    }

    private void send(HttpClientRequest request, HttpCall httpCall, Promise<HttpResponse> promise) {
        // A wait for a pooled connection that was granted too late must not send.
        if (promise.future().isComplete()) {
            request.reset();
            return;
        }
        promise.future().onFailure(failure -> request.reset());
        (httpCall.body().isEmpty()
                        ? request.send()
                        : request.send(httpCall.body().get()))
                .compose(response ->
                        response.body().map(body -> new HttpResponse(response.statusCode(), response.headers(), body)))
                .onComplete(result -> {
                    if (result.succeeded()) {
                        promise.tryComplete(result.result());
                    } else {
                        promise.tryFail(toServingException(result.cause()));
                    }
                });
    }

    private ServingException toServingException(Throwable cause) {
        return cause instanceof ServingException failure
                ? failure
                : ServingException.unknown(failureCode, String.valueOf(cause.getMessage()));
    }
}
