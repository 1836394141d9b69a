package org.pimentovale.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.limit.BodyMemory;

/**
 * The body of one caller's request while it is received.
 *
 * <p>Invariant: the memory that the body takes is reserved in the memory for bodies, also what its buffer has allocated
 * beyond the bytes received; after a refusal or an early end nothing is held. Not thread safe; used on one event loop.
 */
final class RequestBody {
    private static final long RETRY_AFTER_MS = 1_000; // large uploads take seconds

    private final BodyMemory.Reservation reservation;
    private final long maxBytes;
    private final Optional<String> announcedLength;
    private final boolean present;
    private Buffer received = Buffer.buffer();
    private long capacityBytes;
    private boolean refused;
    private boolean complete;

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
        return announcedBytes().isPresent() ? reserve(announcedBytes().getAsLong()) : Optional.empty();
    }

    private OptionalLong announcedBytes() {
        return announcedLength
                .filter(length -> length.matches("[0-9]{1,18}"))
                .map(length -> OptionalLong.of(Long.parseLong(length)))
                .orElse(OptionalLong.empty());
    }

    /** Adds the next part; returns the failure if the body cannot be held. Later parts are ignored then. */
    Optional<ServingException> add(Buffer part) {
        if (refused) {
            return Optional.empty();
        }
        long totalBytes = (long) received.length() + part.length();
        long neededBytes = totalBytes <= capacityBytes ? capacityBytes : grownCapacity(totalBytes);
        Optional<ServingException> failure = reserve(neededBytes);
        if (failure.isEmpty()) {
            growTo(neededBytes);
            received.appendBuffer(part);
        }
        return failure;
    }

    /** Returns the next capacity: twice the present one, but no more than the body can need. */
    private long grownCapacity(long totalBytes) {
        long largestBytes = Math.min(maxBytes, announcedBytes().orElse(maxBytes));
        return Math.max(totalBytes, Math.min(2 * capacityBytes, largestBytes));
    }

    private void growTo(long neededBytes) {
        if (neededBytes > capacityBytes) {
            received = Buffer.buffer((int) neededBytes).appendBuffer(received);
            capacityBytes = neededBytes;
        }
    }

    /** Notes that all parts have been received. */
    void complete() {
        complete = true;
    }

    private Optional<ServingException> reserve(long totalBytes) {
        if (totalBytes > maxBytes) {
            refuse();
            return Optional.of(
                    ServingException.notRun(ErrorCode.BODY_TOO_LARGE, "body exceeds " + maxBytes + " bytes"));
        }
        if (!reservation.growTo(totalBytes)) {
            refuse();
            return Optional.of(
                    ServingException.notRun(ErrorCode.OVERLOADED, "no memory for a body of " + totalBytes + " bytes")
                            .withRetryAfter(RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    /** Drops what is received, since the handlers of the request refer to it until the caller has sent the rest. */
    private void refuse() {
        refused = true;
        received = Buffer.buffer();
        capacityBytes = 0;
        reservation.release();
    }

    /** Returns the memory when the body is not needed any more. One that is not complete is dropped. */
    void release() {
        if (complete) {
            reservation.release();
        } else {
            refuse();
        }
    }
}
