package org.pimentovale.standin.fleet;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;

/**
 * A stream of events that an endpoint stand-in sends at a constant rate.
 *
 * <p>Not thread safe; used on the event loop of its socket.
 */
final class PacedStream {
    private static final long EVENT_INTERVAL_MS = 50;

    private final Vertx vertx;
    private final NetSocket socket;
    private final String attempt;
    private int events;

    PacedStream(Vertx vertx, NetSocket socket, String attempt) {
        this.vertx = vertx;
        this.socket = socket;
        this.attempt = attempt;
    }

    /** Sends the head, then events until the duration has passed, then the end of the stream. */
    void run(long durationMs) {
        socket.write(EndpointBehaviour.streamHead(attempt));
        sendEvents(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs));
    }

    private void sendEvents(long endNs) {
        events++;
        socket.write(EndpointBehaviour.chunk("id: " + events + "\ndata: event\n\n"));
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(endNs - System.nanoTime());
        if (remainingMs <= 0) {
            socket.write("0\r\n\r\n");
            return;
        }
        vertx.setTimer(Math.min(EVENT_INTERVAL_MS, remainingMs), fired -> sendEvents(endNs));
    }
}
