package org.pimentovale.store.http;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * The body of a response while it is received.
 *
 * <p>Invariant: it holds at most the bytes of its limit. Not thread safe.
 */
final class BoundedBody {
    private final BodyLimit limit;
    private Buffer held = Buffer.buffer();
    private Optional<LongStringFilter> filter = Optional.empty();

    BoundedBody(BodyLimit limit) {
        this.limit = limit;
    }

    /** Appends the next part; returns false, and appends nothing, if the limit would be exceeded. */
    boolean append(Buffer part) {
        if (filter.isEmpty() && held.length() + part.length() > limit.unfilteredBytes()) {
            filter = limit.newFilter();
            held = filter.map(shortening -> shortening.filter(held)).orElse(held);
        }
        Buffer kept = filter.map(shortening -> shortening.filter(part)).orElse(part);
        if (held.length() + kept.length() > limit.maxBytes()) {
            return false;
        }
        held.appendBuffer(kept);
        return true;
    }

    /** Returns what is held of the parts so far. */
    Buffer content() {
        return held;
    }
}
