package org.pimentovale.daemon.peer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemTrustOptions;
import java.util.Optional;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.table.Configuration;

/**
 * HTTP client for calls to other instances. Invariant: a call ends within its timeout, and the connection of a
 * timed-out call is closed. Thread safe.
 */
final class PeerClient {
    private static final int CALL_TIMEOUT_MS = 400;
    private static final int IDLE_TIMEOUT_S = 10;

    private final Vertx vertx;
    private final HttpClient client;
    private final AccessKey key;
    private final boolean tls;

    PeerClient(Vertx vertx, AccessKey key, Optional<String> certificateFile) {
        this.vertx = vertx;
        this.key = key;
        this.tls = certificateFile.isPresent();
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout(CALL_TIMEOUT_MS)
                .setKeepAliveTimeout(IDLE_TIMEOUT_S)
                .setSsl(tls)
                .setVerifyHost(false);
        // All instances share one certificate, which is its own trust anchor.
        certificateFile.ifPresent(file -> options.setTrustOptions(new PemTrustOptions().addCertPath(file)));
        this.client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(2));
    }

    Future<PeerMessage.Receipt> send(String address, PeerMessage message) {
        return call(HttpMethod.POST, address, "/v1/peer/news", Buffer.buffer(Json.write(message)))
                .map(body -> Json.read(body.getBytes(), PeerMessage.Receipt.class));
    }

    Future<Configuration> fetchConfiguration(String address) {
        return call(HttpMethod.GET, address, "/v1/peer/configuration", Buffer.buffer())
                .map(body -> Configuration.parse(body.getBytes()));
    }

    Future<PeerMessage.WrittenClaims> fetchWrittenClaims(String address) {
        return call(HttpMethod.GET, address, PeerListener.WRITTEN_CLAIMS_PATH, Buffer.buffer())
                .map(body -> Json.read(body.getBytes(), PeerMessage.WrittenClaims.class));
    }

    private Future<Buffer> call(HttpMethod method, String address, String path, Buffer body) {
        int colon = address.lastIndexOf(':');
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setSsl(tls)
                .setURI(path)
                .putHeader("Authorization", key.authorizationHeader());
        Promise<Buffer> promise = Promise.promise();
        client.request(options)
                .onSuccess(request -> {
                    if (promise.future().isComplete()) {
                        request.reset();
                        return;
                    }
                    promise.future().onFailure(failure -> request.reset());
                    request.send(body)
                            .compose(response -> response.statusCode() == 200
                                    ? response.body()
                                    : Future.failedFuture(ServingException.notRun(
                                            ErrorCode.PEER_MESSAGE_INVALID,
                                            "peer returned status " + response.statusCode())))
                            .onSuccess(promise::tryComplete)
                            .onFailure(promise::tryFail);
                })
                .onFailure(promise::tryFail);
        long timer = vertx.setTimer(
                CALL_TIMEOUT_MS,
                fired -> promise.tryFail(
                        ServingException.notRun(ErrorCode.PROGRESS_TIMEOUT, "no response from peer " + address)));
        return promise.future().andThen(result -> vertx.cancelTimer(timer));
    }
}
