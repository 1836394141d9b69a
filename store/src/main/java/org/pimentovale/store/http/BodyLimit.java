package org.pimentovale.store.http;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.history.SilenceLimit;

/** How much of a response body a client holds in memory. Immutable and thread safe. */
public enum BodyLimit {
    /** For messages between processes of the system and objects of its own store, which are sent with a marked end. */
    MESSAGES(8 * 1_024 * 1_024, BodyTime.NONE, true) {
        @Override
        Optional<LongStringFilter> newFilter() {
            return Optional.empty();
        }
    },
    /**
     * For calls for pieces, whose results take less than a hundred bytes each. Faulty endpoints may send bodies without
     * end in all calls at the same time.
     */
    SHORT_RESPONSES(256 * 1_024, BodyTime.NONE, false) {
        @Override
        Optional<LongStringFilter> newFilter() {
            return Optional.empty();
        }
    },
    /**
     * For objects of a store to which others write as well: strings that are longer than any in use are shortened, so
     * that large objects of others leave room for the rest of the response. What accumulated during an outage may take
     * longer to receive than a call without it, but only while its bytes arrive.
     */
    STORED_OBJECTS(8 * 1_024 * 1_024, new BodyTime(4_000, SilenceLimit.BODY_SILENCE_MS), false) {
        @Override
        Optional<LongStringFilter> newFilter() {
            return Optional.of(new LongStringFilter(MAX_STRING_BYTES));
        }

        @Override
        ErrorCode shortageCode(ErrorCode failureCode) {
            return ErrorCode.MEMORY_EXHAUSTED;
        }

        @Override
        BusyLoopAllowance newAllowance(int timeoutMs) {
            return BusyLoopAllowance.of(timeoutMs);
        }
    };

    private static final int MAX_STRING_BYTES = 64 * 1_024;
    /** Clients of three kinds leave most of the heap to requests in progress. */
    private static final int HEAP_PARTS = 16;

    private static final int UNFILTERED_BYTES = 1_024 * 1_024;

    private final int maxBytes;
    private final BodyTime time;
    private final boolean needsMarkedEnd;

    BodyLimit(int maxBytes, BodyTime time, boolean needsMarkedEnd) {
        this.maxBytes = maxBytes;
        this.time = time;
        this.needsMarkedEnd = needsMarkedEnd;
    }

    /** Creates the filter for a body that exceeds {@link #unfilteredBytes}, empty if such a body is held unchanged. */
    abstract Optional<LongStringFilter> newFilter();

    /**
     * Returns the extra time of a call if the event loop was busy. Messages get none, since their timeouts decide when
     * another process counts as unresponsive.
     */
    BusyLoopAllowance newAllowance(int timeoutMs) {
        return BusyLoopAllowance.none();
    }

    /**
     * Returns the error code of a call for whose response there is no memory. Of another process it is a failure like
     * any other; it does not make the store unavailable.
     */
    ErrorCode shortageCode(ErrorCode failureCode) {
        return failureCode;
    }

    /** Creates the memory of the responses that a client receives at the same time. */
    static ReceivedMemory newMemory() {
        return new ReceivedMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    BoundedBody newBody(ReceivedMemory.Reservation reservation) {
        return new BoundedBody(this, reservation);
    }

    /** Returns the length up to which a body is always held unchanged, in bytes. */
    int unfilteredBytes() {
        return Math.min(maxBytes, UNFILTERED_BYTES);
    }

    /** Returns the time for a body beyond the timeout of its call. */
    BodyTime time() {
        return time;
    }

    /**
     * Tells whether a body has to mark its end, since the beginning of a body may have a meaning of its own. Others are
     * JSON objects, which mark their own ends.
     */
    boolean needsMarkedEnd() {
        return needsMarkedEnd;
    }

    /** Returns the length that may be held of a body, in bytes. */
    int maxBytes() {
        return maxBytes;
    }
}
