package org.pimentovale.daemon.endpoint;

import io.vertx.core.http.HttpClientConnection;

/**
 * A connection to one incarnation of an endpoint, used by one exchange at a time.
 *
 * <p>Invariant: the incarnation was reported over this very connection, so that work sent on it reaches that
 * incarnation or nobody. Not thread safe; used on the event loop that opened it.
 */
public final class EndpointConnection {
    private final String address;
    private final String incarnation;
    private final HttpClientConnection connection;
    private boolean closed;
    private long lastUsedMs;

    EndpointConnection(String address, String incarnation, HttpClientConnection connection, long nowMs) {
        this.address = address;
        this.incarnation = incarnation;
        this.connection = connection;
        this.lastUsedMs = nowMs;
    }

    /**
     * Returns the endpoint's address.
     *
     * @return host and port
     */
    public String address() {
        return address;
    }

    /**
     * Returns the incarnation at the other end.
     *
     * @return the incarnation, empty where the endpoint reports none
     */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Returns the connection.
     *
     * @return the open or closed connection
     */
    HttpClientConnection connection() {
        return connection;
    }

    boolean closed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    long lastUsedMs() {
        return lastUsedMs;
    }

    void markUsed(long nowMs) {
        lastUsedMs = nowMs;
    }
}
