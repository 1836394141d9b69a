package org.pimentovale.kernel.history;

/**
 * Bounds how long a reader of the store may wait on a connection that has gone silent, so that a change is known within
 * a limit after the silence begins.
 *
 * <p>A connection may go silent before the head of a response or within its body. Before the head, a watch ends after
 * its wait and {@link #RESPONSE_MARGIN_MS}; within the body, after {@link #BODY_SILENCE_MS}. The next request uses a
 * new connection and does not wait. Immutable and thread safe.
 *
 * @param limitMs the time after which a change has to be known, in milliseconds
 */
public record SilenceLimit(int limitMs) {
    /** How long a response may take beyond the wait that its request names, in milliseconds. */
    public static final int RESPONSE_MARGIN_MS = 600;

    /** How long no byte of a response body may arrive, in milliseconds. */
    public static final int BODY_SILENCE_MS = 1_000;

    /** Time for the delay before the next request and for its response, in milliseconds. */
    public static final int NEXT_REQUEST_MS = 300;

    /** The smallest limit that a reader can keep, in milliseconds. */
    public static final int MIN_LIMIT_MS = 1_600;

    /** The limit of kinds of objects that are not needed soon. */
    public static final SilenceLimit NONE = new SilenceLimit(Integer.MAX_VALUE);

    private static final int MIN_WAIT_MS = 50;

    /** Checks the limit. */
    public SilenceLimit {
        if (limitMs < MIN_LIMIT_MS) {
            throw new IllegalArgumentException("limit of " + limitMs + " ms is below " + MIN_LIMIT_MS + " ms");
        }
    }

    /**
     * Returns how long a watch may wait for changes.
     *
     * @param longestMs the longest wait of the kind of objects, in milliseconds
     * @param batchDelayMs how long a connection may be unused between two watches, in milliseconds
     * @return the wait in milliseconds
     */
    public int watchWaitMs(int longestMs, int batchDelayMs) {
        int leftMs = limitMs - RESPONSE_MARGIN_MS - NEXT_REQUEST_MS - batchDelayMs;
        return Math.min(longestMs, Math.max(MIN_WAIT_MS, leftMs));
    }

    /**
     * Tells whether reports of other readers may replace the notice of a silent connection.
     *
     * @return whether a request that follows the oldest admissible report is answered within the limit
     */
    public boolean allowsReports() {
        return limitMs >= ContactPlan.MAX_AGE_MS + RESPONSE_MARGIN_MS + NEXT_REQUEST_MS;
    }
}
