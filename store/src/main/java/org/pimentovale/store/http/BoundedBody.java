package org.pimentovale.store.http;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * The body of a response while it is received.
 *
 * <p>Invariant: it holds at most the bytes of its limit, and all bodies of a client at most those of its memory. Not
 * thread safe.
 */
final class BoundedBody {
    /** Whether a part of a body was appended. */
    enum Outcome {
        APPENDED,
        /** The body would exceed its limit. */
        TOO_LONG,
        /** The bodies of the client leave no memory for it. */
        NO_MEMORY
    }

    private final BodyLimit limit;
    private final ReceivedMemory.Reservation reservation;
    private Buffer held = Buffer.buffer();
    private Optional<LongStringFilter> filter = Optional.empty();

    BoundedBody(BodyLimit limit, ReceivedMemory.Reservation reservation) {
        this.limit = limit;
        this.reservation = reservation;
    }

    /** Appends the next part, unless a limit would be exceeded. */
    Outcome append(Buffer part) {
        if (filter.isEmpty() && held.length() + part.length() > limit.unfilteredBytes()) {
            filter = limit.newFilter();
            held = filter.map(shortening -> shortening.filter(held)).orElse(held);
        }
        Buffer kept = filter.map(shortening -> shortening.filter(part)).orElse(part);
        if (held.length() + kept.length() > limit.maxBytes()) {
            return Outcome.TOO_LONG;
        }
        if (!reservation.growTo(held.length() + kept.length())) {
            return Outcome.NO_MEMORY;
        }
        held.appendBuffer(kept);
        return Outcome.APPENDED;
    }

    /** Returns what is held of the parts so far. */
    Buffer content() {
        return held;
    }
}
