package org.pimentovale.daemon.endpoint;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.log.Events;

/**
 * One worker's connections to endpoints.
 *
 * <p>Invariants: a connection is handed out only after the endpoint reported its incarnation over it; a connection
 * whose exchange did not end cleanly is closed and never handed out again; the unexpected end of any connection makes
 * the endpoint unverified. Not thread safe; used on one event loop.
 */
public final class EndpointConnectionPool {
    private static final Logger LOG = Logger.getLogger(EndpointConnectionPool.class);
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int REPORT_TIMEOUT_MS = 1_000;
    private static final int MAX_IDLE_PER_ENDPOINT = 64;
    private static final long MAX_IDLE_MS = 10_000;
    private static final long RECENTLY_USED_MS = 1_000;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final LoadProbe loadProbe;
    private final ServingTables tables;
    private final Map<String, Deque<EndpointConnection>> idle = new HashMap<>();

    /** Which connections may serve an exchange. */
    public enum Preference {
        /** Any idle connection, else a new one. */
        ANY(MAX_IDLE_MS),
        /** An idle connection that was used a moment ago, else a new one. */
        RECENTLY_USED(RECENTLY_USED_MS),
        /** A new connection. */
        NEW(0);

        private final long maxIdleMs;

        Preference(long maxIdleMs) {
            this.maxIdleMs = maxIdleMs;
        }
    }

    /**
     * Creates an empty set of connections.
     *
     * @param vertx runs the connections
     * @param loadProbe reads the endpoints' reports
     * @param tables is told what is learnt of endpoints
     */
    public EndpointConnectionPool(Vertx vertx, LoadProbe loadProbe, ServingTables tables) {
        this.vertx = vertx;
        this.loadProbe = loadProbe;
        this.tables = tables;
        this.client = vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MS)
                        .setKeepAliveTimeout(0)
                        .setTcpNoDelay(true))
                .with(new PoolOptions())
                .build();
    }

    /**
     * Hands out a connection for one exchange; it has to come back by {@link #release} or {@link #discard}.
     *
     * @param address the endpoint
     * @param preference which connections may serve
     * @return the connection; fails with {@link ErrorCode#CONNECT_FAILED} where there is none to be had
     */
    public Future<EndpointConnection> acquire(String address, Preference preference) {
        Deque<EndpointConnection> connections = idle.get(address);
        long nowMs = tables.clock().nowMs();
        while (connections != null && !connections.isEmpty()) {
            EndpointConnection latest = connections.pollLast();
            if (latest.closed()) {
                continue;
            }
            if (nowMs - latest.lastUsedMs() <= preference.maxIdleMs && preference != Preference.NEW) {
                return Future.succeededFuture(latest);
            }
            if (preference == Preference.ANY) {
                discard(latest);
                continue;
            }
            connections.addLast(latest);
            break;
        }
        return open(address);
    }

    private Future<EndpointConnection> open(String address) {
        int colon = address.lastIndexOf(':');
        HttpConnectOptions options = new HttpConnectOptions()
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setConnectTimeout(CONNECT_TIMEOUT_MS);
        return client.connect(options)
                .recover(failure -> {
                    tables.warmth().recordConnectionLoss(address);
                    return Future.failedFuture(
                            ServingException.notRun(ErrorCode.CONNECT_FAILED, address + ": " + failure.getMessage()));
                })
                .compose(connection -> handshake(address, connection));
    }

    private Future<EndpointConnection> handshake(String address, HttpClientConnection connection) {
        return readReport(connection)
                .map(report -> {
                    EndpointConnection opened = new EndpointConnection(
                            address,
                            report.incarnation(),
                            connection,
                            tables.clock().nowMs());
                    connection.closeHandler(closed -> handleClose(opened));
                    return opened;
                })
                .recover(failure -> {
                    connection.close();
                    tables.warmth().recordConnectionLoss(address);
                    return Future.failedFuture(ServingException.notRun(
                            ErrorCode.CONNECT_FAILED, address + ": no report: " + failure.getMessage()));
                });
    }

    private void handleClose(EndpointConnection connection) {
        if (!connection.closed()) {
            connection.markClosed();
            tables.warmth().recordConnectionLoss(connection.address());
            Events.info(LOG, "endpoint_connection_closed", "endpoint", connection.address());
        }
    }

    private Future<LoadReport> readReport(HttpClientConnection connection) {
        long requestedMs = tables.clock().nowMs();
        String address = connection.remoteAddress().hostAddress() + ":"
                + connection.remoteAddress().port();
        Promise<LoadReport> promise = Promise.promise();
        connection
                .request(new RequestOptions().setMethod(HttpMethod.GET).setURI(loadProbe.path()))
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> parse(response.statusCode(), body)))
                .onComplete(result -> {
                    if (result.succeeded()) {
                        tables.observe(address, result.result(), requestedMs);
                        promise.tryComplete(result.result());
                    } else {
                        promise.tryFail(result.cause());
                    }
                });
        long timer = vertx.setTimer(REPORT_TIMEOUT_MS, fired -> {
            if (promise.tryFail(ServingException.notRun(ErrorCode.PROGRESS_TIMEOUT, "probe"))) {
                connection.close();
            }
        });
        return promise.future().andThen(result -> vertx.cancelTimer(timer));
    }

    private LoadReport parse(int status, Buffer body) {
        return loadProbe.parse(status, body.getBytes());
    }

    /**
     * Asks an endpoint for its report, over an idle connection where there is one.
     *
     * @param address the endpoint
     * @param preference which connections may serve
     * @return the report, which the tables have seen then
     */
    public Future<LoadReport> probe(String address, Preference preference) {
        return acquire(address, preference).compose(connection -> readReport(connection.connection())
                .map(report -> {
                    release(connection);
                    return report;
                })
                .recover(failure -> {
                    discard(connection);
                    return preference == Preference.NEW
                            ? Future.failedFuture(failure)
                            : probe(address, Preference.NEW);
                }));
    }

    /**
     * Takes a connection back after a clean end of its exchange.
     *
     * @param connection the connection
     */
    public void release(EndpointConnection connection) {
        if (connection.closed()) {
            return;
        }
        connection.markUsed(tables.clock().nowMs());
        Deque<EndpointConnection> connections =
                idle.computeIfAbsent(connection.address(), unused -> new ArrayDeque<>());
        connections.addLast(connection);
        if (connections.size() > MAX_IDLE_PER_ENDPOINT) {
            discard(connections.pollFirst());
        }
    }

    /**
     * Closes a connection on purpose, which says nothing of the endpoint.
     *
     * @param connection the connection
     */
    public void discard(EndpointConnection connection) {
        connection.markClosed();
        connection.connection().close();
    }

    /**
     * Closes all idle connections to an endpoint, after one of them was silent: whatever lost track of one may have
     * lost track of all.
     *
     * @param address the endpoint
     */
    public void discardIdle(String address) {
        Deque<EndpointConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(this::discard);
        }
    }
}
