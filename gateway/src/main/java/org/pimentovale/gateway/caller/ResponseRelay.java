package org.pimentovale.gateway.caller;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.kernel.limit.ResponseMemory;
import org.pimentovale.kernel.response.ResponseEnd;
import org.pimentovale.kernel.stream.EventStreamParser;
import org.pimentovale.response.BodyFraming;

/**
 * Relays the response of an endpoint to the caller, with back-pressure.
 *
 * <p>The first part of a body is held back, so that a response which breaks off early can be replaced by a failure or
 * by the response of another endpoint; a stream of events is relayed at once. A caller of HTTP/1.0 gets its response as
 * a whole with a length, since it could not tell a break from the end. Where memory is reserved for responses, an
 * endpoint is read ahead of a slow caller as far as the reservation goes, since endpoints abort responses that are not
 * read. Invariants: the memory used is bounded, however long the body is; the caller's body is ended only if {@link
 * ResponseEnd} judges the endpoint's as whole. Not thread safe; used on one event loop.
 */
final class ResponseRelay {
    private static final int MAX_HELD_BYTES = 256 * 1_024;
    private static final int MAX_EVENT_BYTES = 1_024 * 1_024;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int EVENTS_OF_CONTINUED_ANSWER = 2;

    private final HttpClientResponse response;
    private final CallerResponse callerResponse;
    private final EndpointCodec codec;
    private final Listener listener;
    private final Optional<EventStreamParser> events;
    private final BodyFraming framing;
    private final BooleanSupplier requestWritten;
    private final Supplier<Future<Boolean>> endpointEnded;
    private final Optional<ResponseMemory.Reservation> reservation;
    private final Buffer held = Buffer.buffer();
    private Optional<HttpServerResponse> target = Optional.empty();
    private Optional<ReadAhead> readAhead = Optional.empty();
    private boolean continued;

    /** Receives the progress of a relay. */
    interface Listener {
        /** Tells whether the response is still wanted; if not, its parts are ignored. */
        boolean active();

        /**
         * Called before the first byte is sent to the caller, unless the response is sent as a whole.
         *
         * @param framing how the end of the body is marked
         */
        void begun(BodyFraming framing);

        /** Called once when the endpoint has continued its answer after its beginning. */
        void continued();

        /**
         * Called when the body has ended, before {@link #completed} or {@link #broken}.
         *
         * @param framing how the end of the body is marked
         * @param end what was decided
         * @param receivedEvents the number of complete events of a stream
         */
        void ended(BodyFraming framing, ResponseEnd end, int receivedEvents);

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
     * @param requestWritten tells whether the request has been written to the endpoint as a whole
     * @param endpointEnded asks whether the endpoint has ended unexpectedly; never fails
     * @param reservation the memory of the request, empty if responses are not read ahead
     * @param listener receives the progress
     */
    ResponseRelay(
            HttpClientResponse response,
            CallerResponse callerResponse,
            EndpointCodec codec,
            boolean stream,
            BooleanSupplier requestWritten,
            Supplier<Future<Boolean>> endpointEnded,
            Optional<ResponseMemory.Reservation> reservation,
            Listener listener) {
        this.response = response;
        this.callerResponse = callerResponse;
        this.codec = codec;
        this.events = stream ? Optional.of(new EventStreamParser()) : Optional.empty();
        this.framing = framingOf(response);
        this.requestWritten = requestWritten;
        this.endpointEnded = endpointEnded;
        this.reservation = reservation;
        this.listener = listener;
    }

    /**
     * Tells whether a response is a stream of events by its own account.
     *
     * @param response the endpoint's response
     * @return whether its content type is that of server-sent events
     */
    static boolean announcesEvents(HttpClientResponse response) {
        String contentType = response.getHeader("Content-Type");
        return contentType != null
                && contentType.trim().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
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
        if (holds(part)) {
            held.appendBuffer(part);
        } else if (callerResponse.takesChunks()) {
            write(part);
        } else {
            breakOff("the response exceeds what is held for a caller without chunks: " + MAX_HELD_BYTES + " bytes");
        }
    }

    private boolean holds(Buffer part) {
        boolean mayWait = events.isEmpty() || !callerResponse.takesChunks();
        return target.isEmpty()
                && mayWait
                && held.length() + part.length() <= MAX_HELD_BYTES
                && (reservation.isEmpty() || reservation.get().tryReserve(part.length()));
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
            listener.begun(framing);
            target = Optional.of(callerResponse.startChunked(
                    response.statusCode(), response.statusMessage(), codec.responseHeaders(response.headers())));
            readAhead =
                    reservation.map(memory -> new ReadAhead(target.get(), memory, listener::active, response::resume));
            readAhead.ifPresent(parts -> callerResponse.written().onComplete(done -> parts.drop()));
            if (held.length() > 0) {
                Future<Void> written = target.get().write(held.copy());
                reservation.ifPresent(memory -> written.onComplete(ended -> memory.release(held.length())));
            }
        }
        if (readAhead.isPresent()) {
            if (!readAhead.get().write(part)) {
                response.pause();
            }
            return;
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
        ResponseEnd end = ResponseEnd.judge(framing, requestWritten.getAsBoolean(), events);
        if (end.needsConfirmation(framing)) {
            endpointEnded.get().onSuccess(ended -> conclude(end.confirm(ended)));
        } else {
            conclude(end);
        }
    }

    private void conclude(ResponseEnd end) {
        if (!listener.active()) {
            return;
        }
        listener.ended(
                framing, end, events.map(EventStreamParser::completeEvents).orElse(0));
        if (end == ResponseEnd.WHOLE) {
            readAhead.ifPresentOrElse(parts -> parts.whenEmpty(this::complete), this::complete);
        } else {
            breakOff(end.description());
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

    private static BodyFraming framingOf(HttpClientResponse response) {
        return BodyFraming.of(
                response.version() == HttpVersion.HTTP_1_1,
                Optional.ofNullable(response.getHeader("Transfer-Encoding")),
                Optional.ofNullable(response.getHeader("Content-Length")));
    }

    private void breakOff(String reason) {
        if (listener.active()) {
            if (target.isEmpty()) {
                reservation.ifPresent(memory -> memory.release(held.length()));
            }
            listener.broken(reason);
        }
    }
}
