package org.pimentovale.gateway.feed;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * Records the requests of a feed that have no usable response, by what they tell of the store: that it is unavailable,
 * that it has lost its history, or nothing, if this process had no memory for the response. Not thread safe; used on
 * one event loop.
 */
final class FeedFailures {
    private final StoreContact contact;
    private final FeedWaits waits;
    private final FeedConfirmations confirmations;
    private final FeedClocks clock;
    private final FeedLog log;

    FeedFailures(
            StoreContact contact, FeedWaits waits, FeedConfirmations confirmations, FeedClocks clock, FeedLog log) {
        this.contact = contact;
        this.waits = waits;
        this.confirmations = confirmations;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Records a failure.
     *
     * @param cause why there is no usable response
     * @param known the revision up to which changes are known
     * @return whether the store has lost the history after that revision
     */
    boolean record(Throwable cause, StoreRevision known) {
        ServingException failure = ServingException.of(cause);
        if (failure.code() == ErrorCode.HISTORY_LOST) {
            log.warn("history_lost", known);
            return true;
        }
        confirmations.fail(failure);
        if (cause instanceof OutOfMemoryError || failure.code() == ErrorCode.MEMORY_EXHAUSTED) {
            log.warn("response_without_memory", known, "failure", failure.getMessage());
            return false;
        }
        waits.recordFailure(clock.read());
        if (contact.recordFailure(waits.reporterHeardMs())) {
            log.warn("store_unavailable", known, "failure", failure.getMessage());
        }
        return false;
    }
}
