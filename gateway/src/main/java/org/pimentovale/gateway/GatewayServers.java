package org.pimentovale.gateway;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Opens the listeners of one gateway and closes them together. Not thread safe. */
final class GatewayServers {
    private static final int MAX_HEADER_BYTES = 64 * 1_024;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final Vertx vertx;
    private final List<HttpServer> servers = new ArrayList<>();

    GatewayServers(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Opens a listener; returns its port, or fails if the address cannot be bound. */
    Future<Integer> listen(String address, Handler<HttpServerRequest> handler) {
        return listen(create(address, handler));
    }

    /** Opens a listener as {@link #listen(String, Handler)} does, and reports each new connection. */
    Future<Integer> listen(
            String address, Handler<HttpServerRequest> handler, Handler<HttpConnection> connectionHandler) {
        return listen(create(address, handler).connectionHandler(connectionHandler));
    }

    private HttpServer create(String address, Handler<HttpServerRequest> handler) {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(hostOf(address))
                .setPort(Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)))
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setTcpNoDelay(true);
        return vertx.createHttpServer(options).requestHandler(handler);
    }

    private Future<Integer> listen(HttpServer server) {
        servers.add(server);
        return server.listen().map(HttpServer::actualPort);
    }

    /** Returns the host of an address of the form {@code host:port}. */
    static String hostOf(String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Stops listening and closes the connections without a request. The process needs a moment to end, in which it
     * would accept connections and never read their requests.
     */
    void stopAccepting(long timeoutMs) {
        servers.forEach(server -> server.shutdown(timeoutMs, TimeUnit.MILLISECONDS));
    }

    /** Closes all listeners with their connections at once. */
    void close() {
        servers.forEach(HttpServer::close);
    }
}
