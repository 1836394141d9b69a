package org.pimentovale.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.limit.BodyMemory;

/**
 * The body of one caller's request while it is received.
 *
 * <p>Invariant: what is held is reserved in the memory for bodies. Not thread safe; used on one event loop.
 */
final class RequestBody {
    private static final long RETRY_AFTER_MS = 1_000; // large uploads take seconds

    private final Buffer received = Buffer.buffer();
    private final BodyMemory.Reservation reservation;
    private final long maxBytes;
    private final Optional<String> announcedLength;
    private final boolean present;
    private boolean refused;

    /**
     * Creates an empty body.
     *
     * @param headers the headers of the request
     * @param reservation the memory of the request
     * @param maxBytes the largest length that the configuration allows
     */
    RequestBody(MultiMap headers, BodyMemory.Reservation reservation, long maxBytes) {
        this.reservation = reservation;
        this.maxBytes = maxBytes;
        this.announcedLength = Optional.ofNullable(headers.get(HttpHeaders.CONTENT_LENGTH));
        this.present = announcedLength.isPresent() || headers.contains(HttpHeaders.TRANSFER_ENCODING);
    }

    /** Returns the bytes received so far, empty if the request has no body. */
    Optional<Buffer> content() {
        return present ? Optional.of(received) : Optional.empty();
    }

    /** Reserves the announced length; returns the failure if the body cannot be held. */
    Optional<ServingException> reserveAnnounced() {
        return announcedLength
                .filter(length -> length.matches("[0-9]{1,18}"))
                .flatMap(length -> reserve(Long.parseLong(length)));
    }

    /** Adds the next part; returns the failure if the body cannot be held. Later parts are ignored then. */
    Optional<ServingException> add(Buffer part) {
        if (refused) {
            return Optional.empty();
        }
        Optional<ServingException> failure = reserve(received.length() + part.length());
        if (failure.isEmpty()) {
            received.appendBuffer(part);
        }
        return failure;
    }

    private Optional<ServingException> reserve(long totalBytes) {
        if (totalBytes > maxBytes) {
            refused = true;
            return Optional.of(
                    ServingException.notRun(ErrorCode.BODY_TOO_LARGE, "body exceeds " + maxBytes + " bytes"));
        }
        if (!reservation.growTo(totalBytes)) {
            refused = true;
            return Optional.of(
                    ServingException.notRun(ErrorCode.OVERLOADED, "no memory for a body of " + totalBytes + " bytes")
                            .withRetryAfter(RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    /** Returns the memory when the body is not needed any more. */
    void release() {
        refused = true;
        reservation.release();
    }
}
