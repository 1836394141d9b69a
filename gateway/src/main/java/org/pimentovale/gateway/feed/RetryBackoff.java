package org.pimentovale.gateway.feed;

import org.pimentovale.kernel.history.ContactPlan;

/** How the delays of a feed grow while the store does not answer. Immutable and thread safe. */
enum RetryBackoff {
    /** For a feed that notices the end of an outage itself. */
    NOTICING(100, 800),
    /**
     * For a feed that others tell of the end of an outage. Its first delay is as long as the longest of the others, so
     * that it makes few calls even in an outage of some seconds.
     */
    NOTIFIED(800, 3_200);

    private final int initialMs;
    private final int maxMs;

    RetryBackoff(int initialMs, int maxMs) {
        this.initialMs = initialMs;
        this.maxMs = maxMs;
    }

    /**
     * Returns the backoff of a feed. A kind whose watches wait long is needed less soon, and the feeds of the other
     * kinds ask often enough to notice the end of an outage for all. Before the first list nothing is known, so that
     * all ask.
     *
     * @param maxWaitMs the longest wait of the feed's watches, in milliseconds
     * @param listed whether the kind has been listed
     */
    static RetryBackoff of(int maxWaitMs, boolean listed) {
        return listed && maxWaitMs >= ContactPlan.LONG_WAIT_MS ? NOTIFIED : NOTICING;
    }

    /** Returns the greatest backoff, in milliseconds. */
    int maxMs() {
        return maxMs;
    }

    /** Returns the nearest backoff within the bounds, in milliseconds. */
    int limit(int backoffMs) {
        return Math.min(maxMs, Math.max(initialMs, backoffMs));
    }
}
