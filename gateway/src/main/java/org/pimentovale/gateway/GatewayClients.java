package org.pimentovale.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.store.http.BodyLimit;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Creates the clients of one gateway and closes them together.
 *
 * <p>Invariant: each method creates a client with a pool of its own. Not thread safe.
 */
final class GatewayClients {
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_CONNECTIONS_PER_HOST = 400;
    private static final int MAX_STORE_CONNECTIONS = 16;
    private static final int MAX_RELEASE_CONNECTIONS_PER_HOST = 2;
    private static final int KEEP_ALIVE_TIMEOUT_SECONDS = 20;
    // Watches keep their connections in use. An idle connection may have been lost without notice, so it is closed
    // soon.
    private static final int STORE_KEEP_ALIVE_TIMEOUT_SECONDS = 1;

    private final Vertx vertx;
    private final List<HttpClient> clients = new ArrayList<>();

    GatewayClients(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Creates the client for callers' requests to endpoints, which uses each connection once. */
    HttpClient requests() {
        return create(options(false), MAX_CONNECTIONS_PER_HOST);
    }

    /** Creates the client of the platform's store. */
    TimedHttpClient storeCalls() {
        HttpClient client =
                create(options(true).setKeepAliveTimeout(STORE_KEEP_ALIVE_TIMEOUT_SECONDS), MAX_STORE_CONNECTIONS);
        return new TimedHttpClient(vertx, client, ErrorCode.STORE_UNAVAILABLE, BodyLimit.STORED_OBJECTS);
    }

    /** Creates the client for calls for pieces, which uses each connection once. */
    TimedHttpClient stageCalls() {
        return endpointCalls(create(options(false), MAX_CONNECTIONS_PER_HOST));
    }

    /** Creates the client that releases results of stages. */
    TimedHttpClient releaseCalls() {
        return endpointCalls(create(options(true), MAX_RELEASE_CONNECTIONS_PER_HOST));
    }

    /** Creates the client for calls to other gateways. */
    TimedHttpClient peerCalls() {
        HttpClient client = create(options(true), MAX_CONNECTIONS_PER_HOST);
        return TimedHttpClient.identifyingCalls(vertx, client, ErrorCode.PEER_UNAVAILABLE);
    }

    /** Creates the client that only opens connections. */
    NetClient connections() {
        return vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    private TimedHttpClient endpointCalls(HttpClient client) {
        return new TimedHttpClient(vertx, client, ErrorCode.CONNECTION_LOST, BodyLimit.SHORT_RESPONSES);
    }

    private HttpClient create(HttpClientOptions options, int maxConnections) {
        HttpClient client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(maxConnections));
        clients.add(client);
        return client;
    }

    private static HttpClientOptions options(boolean keepConnections) {
        return new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAlive(keepConnections)
                .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS)
                .setTcpNoDelay(true);
    }

    /** Closes all HTTP clients with their connections. */
    void close() {
        clients.forEach(HttpClient::close);
    }
}
