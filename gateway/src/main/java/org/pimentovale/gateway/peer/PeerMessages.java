package org.pimentovale.gateway.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.kernel.limit.BodyMemory;
import org.pimentovale.log.Events;

/**
 * Receives the messages of other gateways.
 *
 * <p>Invariants: a message takes at most {@link #MAX_BYTES}, and all together at most the given memory; one that is not
 * whole after {@link #MAX_DURATION_MS} is dropped with its connection. Not thread safe; used on one event loop.
 */
final class PeerMessages {
    /** Room for the results of the largest stage, which take less than a hundred bytes each. */
    static final int MAX_BYTES = 2 * 1_024 * 1_024;

    /** The time within which a message arrives, longer than the timeout of any call for which one is sent. */
    static final long MAX_DURATION_MS = 5_000;

    private static final Logger LOG = Logger.getLogger(PeerMessages.class);
    private static final int STATUS_TOO_LARGE = 413;

    private final LongSupplier nowMs;
    private final BodyMemory memory;
    private final Set<Message> incomplete = new LinkedHashSet<>();

    /**
     * Creates a receiver without messages.
     *
     * @param nowMs returns the time in milliseconds
     * @param memory the memory for all messages that are being received
     */
    PeerMessages(LongSupplier nowMs, BodyMemory memory) {
        this.nowMs = nowMs;
        this.memory = memory;
    }

    /**
     * Receives a message.
     *
     * @param http the request with the message
     * @param handler receives the whole message
     */
    void receive(HttpServerRequest http, Consumer<Buffer> handler) {
        Message message = new Message(http, handler);
        incomplete.add(message);
        http.handler(message::append);
        http.exceptionHandler(failure -> message.drop());
        http.endHandler(ended -> message.complete());
    }

    /** Closes the connections whose messages have not arrived in time. */
    void closeSilent() {
        List<Message> late = incomplete.stream()
                .filter(message -> nowMs.getAsLong() - message.beganMs > MAX_DURATION_MS)
                .toList();
        for (Message message : late) {
            Events.warn(LOG, "peer_message_incomplete", "path", message.http.path(), "bytes", message.body.length());
            message.drop();
            message.http.connection().close();
        }
    }

    private final class Message {
        private final HttpServerRequest http;
        private final Consumer<Buffer> handler;
        private final BodyMemory.Reservation reservation = memory.newReservation();
        private final long beganMs = nowMs.getAsLong();
        private final Buffer body = Buffer.buffer();
        private boolean refused;

        private Message(HttpServerRequest http, Consumer<Buffer> handler) {
            this.http = http;
            this.handler = handler;
        }

        private void append(Buffer part) {
            long bytes = (long) body.length() + part.length();
            if (refused) {
                return;
            }
            if (bytes <= MAX_BYTES && reservation.growTo(bytes)) {
                body.appendBuffer(part);
                return;
            }
            Events.warn(LOG, "peer_message_too_large", "path", http.path(), "bytes", bytes);
            drop();
            http.response().setStatusCode(STATUS_TOO_LARGE).end().onComplete(sent -> http.connection()
                    .close());
        }

        private void complete() {
            boolean whole = !refused;
            drop();
            if (whole) {
                handler.accept(body);
            }
        }

        private void drop() {
            refused = true;
            incomplete.remove(this);
            reservation.release();
        }
    }
}
