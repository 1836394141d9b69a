package org.pimentovale.gateway.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.Optional;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.kernel.response.BodyFraming;
import org.pimentovale.kernel.stream.EventStreamParser;

/**
 * Relays the response of an endpoint to the caller, with back-pressure.
 *
 * <p>The first part of a body is held back, so that a response which breaks off early can be replaced by a failure or
 * by the response of another endpoint; a stream of events is relayed at once. Invariants: the memory used is bounded,
 * however long the body is; a stream that ends inside an event, or without framing inside a block of lines or before its
 * first event, is never relayed as complete. Not thread safe; used on one event loop.
 */
final class ResponseRelay {
    private static final int MAX_HELD_BYTES = 256 * 1_024;
    private static final int MAX_EVENT_BYTES = 1_024 * 1_024;
    private static final int EVENTS_OF_CONTINUED_ANSWER = 2;

    private final HttpClientResponse response;
    private final CallerResponse callerResponse;
    private final EndpointCodec codec;
    private final Listener listener;
    private final Optional<EventStreamParser> events;
    private final Buffer held = Buffer.buffer();
    private Optional<HttpServerResponse> target = Optional.empty();
    private boolean continued;

    /** Receives the progress of a relay. */
    interface Listener {
        /** Tells whether the response is still wanted; if not, its parts are ignored. */
        boolean active();

        /**
         * Called before the first byte is sent to the caller, unless the response is sent as a whole.
         *
         * @param framed whether the end of the body is marked; otherwise it ends with its connection
         */
        void begun(boolean framed);

        /** Called once when the endpoint has continued its answer after its beginning. */
        void continued();

        /** Called when the complete response has been sent to the caller. */
        void completed();

        /**
         * Called when the response is not complete and never will be.
         *
         * @param reason what was received
         */
        void broken(String reason);
    }

    /**
     * Creates a relay.
     *
     * @param response the endpoint's response, paused
     * @param callerResponse the response to the caller
     * @param codec selects the headers that are relayed
     * @param stream whether the response is a stream of events
     * @param listener receives the progress
     */
    ResponseRelay(
            HttpClientResponse response,
            CallerResponse callerResponse,
            EndpointCodec codec,
            boolean stream,
            Listener listener) {
        this.response = response;
        this.callerResponse = callerResponse;
        this.codec = codec;
        this.events = stream ? Optional.of(new EventStreamParser()) : Optional.empty();
        this.listener = listener;
    }

    /** Starts to read the response. */
    void start() {
        response.handler(this::forward);
        response.exceptionHandler(failure -> breakOff(String.valueOf(failure.getMessage())));
        response.endHandler(ended -> finish());
        response.resume();
    }

    private void forward(Buffer part) {
        if (!listener.active()) {
            return;
        }
        events.ifPresent(parser -> parser.accept(part.getBytes()));
        if (events.filter(parser -> parser.openEventBytes() > MAX_EVENT_BYTES).isPresent()) {
            breakOff("an event exceeds " + MAX_EVENT_BYTES + " bytes");
            return;
        }
        reportContinued();
        if (target.isEmpty() && events.isEmpty() && held.length() + part.length() <= MAX_HELD_BYTES) {
            held.appendBuffer(part);
            return;
        }
        write(part);
    }

    private void reportContinued() {
        int received = events.map(EventStreamParser::completeEvents).orElse(target.isPresent() ? Integer.MAX_VALUE : 0);
        if (!continued && received >= EVENTS_OF_CONTINUED_ANSWER) {
            continued = true;
            listener.continued();
        }
    }

    private void write(Buffer part) {
        if (target.isEmpty()) {
            listener.begun(framed());
            target = Optional.of(callerResponse.startChunked(
                    response.statusCode(), response.statusMessage(), codec.responseHeaders(response.headers())));
            if (held.length() > 0) {
                target.get().write(held.copy());
            }
        }
        HttpServerResponse caller = target.get();
        caller.write(part);
        if (caller.writeQueueFull()) {
            response.pause();
            caller.drainHandler(drained -> response.resume());
        }
    }

    private void finish() {
        if (!listener.active()) {
            return;
        }
        if (events.filter(EventStreamParser::insideEvent).isPresent()) {
            breakOff("the stream ended inside an event");
        } else if (!framed() && events.filter(EventStreamParser::insideBlock).isPresent()) {
            breakOff("the connection ended inside a block of lines");
        } else if (events.filter(parser -> parser.completeEvents() == 0).isPresent() && !framed()) {
            breakOff("the connection ended without an event");
        } else {
            complete();
        }
    }

    private void complete() {
        if (target.isPresent()) {
            callerResponse.endChunked();
        } else {
            callerResponse.sendComplete(
                    response.statusCode(), response.statusMessage(), codec.responseHeaders(response.headers()), held);
        }
        listener.completed();
    }

    /** Tells whether the end of the body is marked, so that it does not only end with its connection. */
    private boolean framed() {
        return BodyFraming.of(
                        response.version() == HttpVersion.HTTP_1_1,
                        Optional.ofNullable(response.getHeader("Transfer-Encoding")),
                        Optional.ofNullable(response.getHeader("Content-Length")))
                .marksEnd();
    }

    private void breakOff(String reason) {
        if (listener.active()) {
            listener.broken(reason);
        }
    }
}
