package org.pimentovale.kernel.serving;

/** The kind of a request, which determines whether it may be retried. Immutable and thread safe. */
public enum RequestKind {
    /** The request may run any number of times. */
    IDEMPOTENT {
        @Override
        boolean allowsRetry(boolean resumable) {
            return true;
        }
    },
    /** The request runs at most once per attempt of the caller. */
    NON_IDEMPOTENT {
        @Override
        boolean allowsRetry(boolean resumable) {
            return false;
        }
    },
    /** The response is a stream of events. The request runs at most once unless the stream is resumable. */
    STREAMING {
        @Override
        boolean allowsRetry(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may already have run may be retried.
     *
     * @param resumable whether the route's streams can be resumed at another endpoint
     * @return true if a further run is allowed
     */
    abstract boolean allowsRetry(boolean resumable);
}
