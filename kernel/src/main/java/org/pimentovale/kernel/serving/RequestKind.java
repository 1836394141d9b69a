package org.pimentovale.kernel.serving;

/** What may be repeated of a request. Immutable and thread safe. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT {
        @Override
        boolean allowsRetry(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT {
        @Override
        boolean allowsRetry(boolean resumable) {
            return false;
        }
    },
    /** Answers with a stream of events; runs at most once unless the stream may be resumed. */
    STREAMING {
        @Override
        boolean allowsRetry(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @param resumable whether the route's streams may be resumed
     * @return whether it may
     */
    abstract boolean allowsRetry(boolean resumable);
}
