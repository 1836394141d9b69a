package org.pimentovale.gateway.caller;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open connections of callers, with their age, the number of requests that they carried, and whether one is in
 * progress.
 *
 * <p>Invariant: contains exactly the connections that were opened and are not closed. Not thread safe; used on one
 * event loop.
 */
final class CallerConnections {
    private static final long MIN_IDLE_MS = 500;

    private final Map<HttpConnection, Usage> usages = new HashMap<>();

    /**
     * How a connection has been used.
     *
     * @param openedMs the time when the connection was opened, in milliseconds of the monotonic clock
     * @param requests the number of requests that were received on it
     * @param inProgress the number of its requests whose responses have not left this process
     * @param changedMs the time when the connection was opened or a request was received or answered, on the same clock
     */
    record Usage(long openedMs, int requests, int inProgress, long changedMs) {
        private static Usage opened(long nowMs) {
            return new Usage(nowMs, 0, 0, nowMs);
        }

        private Usage withRequest(long nowMs) {
            return new Usage(openedMs, requests + 1, inProgress + 1, nowMs);
        }

        private Usage withResponse(long nowMs) {
            return new Usage(openedMs, requests, inProgress - 1, nowMs);
        }

        private boolean idleFor(long durationMs, long nowMs) {
            return inProgress == 0 && nowMs - changedMs >= durationMs;
        }
    }

    /** Adds a connection that was just opened; it is removed when it is closed. */
    void add(HttpConnection connection, long nowMs) {
        usages.put(connection, Usage.opened(nowMs));
        connection.closeHandler(closed -> usages.remove(connection));
    }

    /** Records a request on a connection, and returns the usage before it. */
    Usage recordRequest(HttpConnection connection, long nowMs) {
        Usage before = usages.getOrDefault(connection, Usage.opened(nowMs));
        usages.replace(connection, before.withRequest(nowMs));
        return before;
    }

    /** Records that the response to a request on a connection has left this process. */
    void recordResponse(HttpConnection connection, long nowMs) {
        usages.computeIfPresent(connection, (key, usage) -> usage.withResponse(nowMs));
    }

    /**
     * Closes the connections that have been idle for a moment. A request that is on its way to one of them has not been
     * read, so its caller can send it again.
     */
    void closeIdle(long nowMs) {
        List<HttpConnection> idle = usages.entrySet().stream()
                .filter(entry -> entry.getValue().idleFor(MIN_IDLE_MS, nowMs))
                .map(Map.Entry::getKey)
                .toList();
        idle.forEach(HttpConnection::close);
    }

    /** Returns the number of open connections. */
    int count() {
        return usages.size();
    }
}
