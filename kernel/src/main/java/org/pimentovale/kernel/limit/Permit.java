package org.pimentovale.kernel.limit;

/**
 * The answer to the question whether a request may be sent to an endpoint with a rate limit.
 *
 * @param allowed whether the request may be sent
 * @param limitLifted whether the endpoint no longer names a limit
 * @param waitMs the time until a permit may be granted, in milliseconds; zero if the request may be sent
 */
public record Permit(boolean allowed, boolean limitLifted, long waitMs) {
    static Permit granted() {
        return new Permit(true, false, 0);
    }

    static Permit unlimited() {
        return new Permit(true, true, 0);
    }

    /**
     * Returns a refusal.
     *
     * @param waitMs the time until a permit may be granted, in milliseconds
     * @return the refusal
     */
    public static Permit denied(long waitMs) {
        return new Permit(false, false, waitMs);
    }
}
