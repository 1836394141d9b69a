package org.pimentovale.kernel.rollout;

/**
 * Cumulative numbers of responses of one side of a roll-out: the new build or all others.
 *
 * @param sends requests that were sent
 * @param good good responses
 * @param bad bad responses
 */
public record SideCounts(long sends, long good, long bad) {
    /** No responses. */
    public static final SideCounts NONE = new SideCounts(0, 0, 0);

    /**
     * Adds other counts.
     *
     * @param other the other counts
     * @return the sum
     */
    public SideCounts plus(SideCounts other) {
        return new SideCounts(sends + other.sends, good + other.good, bad + other.bad);
    }

    /**
     * Returns what was added since earlier counts. Lower counts come from a gateway that has started again, and count
     * as a whole.
     *
     * @param earlier the earlier counts
     * @return the difference
     */
    public SideCounts since(SideCounts earlier) {
        return isBefore(earlier) ? this : new SideCounts(sends - earlier.sends, good - earlier.good, bad - earlier.bad);
    }

    /**
     * Tells whether these counts cannot follow others of the same gateway.
     *
     * @param earlier the other counts
     * @return whether one of these is lower
     */
    public boolean isBefore(SideCounts earlier) {
        return sends < earlier.sends || good < earlier.good || bad < earlier.bad;
    }

    /**
     * Returns the number of judged responses.
     *
     * @return good and bad ones
     */
    public long judged() {
        return good + bad;
    }

    /**
     * Tells whether the counts are possible.
     *
     * @return whether none is negative
     */
    public boolean isValid() {
        return sends >= 0 && good >= 0 && bad >= 0;
    }

    SideCounts withSend() {
        return new SideCounts(sends + 1, good, bad);
    }

    SideCounts withResponse(boolean responseBad) {
        return responseBad ? new SideCounts(sends, good, bad + 1) : new SideCounts(sends, good + 1, bad);
    }
}
