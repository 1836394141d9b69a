package org.pimentovale.kernel.membership;

/**
 * Decides which instances may own shared work, such as the queue of a service.
 *
 * <p>An owner sends the calls of all instances. During bursts their requests and results fill a slow link, so that
 * endpoints wait although work is queued. Only instances whose link is not much slower than the fastest one are
 * eligible; where all links are alike, or unknown, all are. Stateless and thread safe.
 */
public final class OwnerEligibility {
    private static final double MIN_SHARE_OF_FASTEST_LINK = 0.5;

    private OwnerEligibility() {}

    /**
     * Tells whether an instance may own shared work.
     *
     * @param linkMbps the bandwidth of its network link in megabits per second, zero if unknown
     * @param fastestMbps the greatest bandwidth among the instances that could be the owner now
     * @return whether it is eligible
     */
    public static boolean isEligible(double linkMbps, double fastestMbps) {
        return linkMbps >= MIN_SHARE_OF_FASTEST_LINK * fastestMbps;
    }
}
