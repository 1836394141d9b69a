package org.pimentovale.kernel.rollout;

import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * Limits the requests that one gateway sends to a new build to a share of its requests to the service.
 *
 * <p>The limit is rounded down after a fixed offset from 0 to 1 was added that differs for each gateway and order. So
 * the sum over many gateways with few requests each is neither zero nor one for each gateway: its expectation is
 * the share of all requests, whenever gateways join or leave. Invariant: without {@link #recordTrial} beyond
 * {@link #permits}, the requests to the new build never exceed the limit. Not thread safe.
 */
public final class TrialAllowance {
    private static final double HASH_RANGE = 0x1p53;
    private static final int HASH_SHIFT = 11;
    // After a time without trials the share is caught up at half of the usual distance, not with one burst.
    private static final double MAX_CATCH_UP = 0.5;

    private final double share;
    private final double offset;
    private long total;
    private long trials;
    private long totalAtTrial;

    /**
     * Creates an allowance without requests.
     *
     * @param share the share of the requests that may go to the new build
     * @param offset the rounding offset, from 0 to less than 1
     */
    TrialAllowance(double share, double offset) {
        this.share = share;
        this.offset = offset;
    }

    /**
     * Creates the allowance of a gateway for an order.
     *
     * @param share the share of the requests that may go to the new build
     * @param gateway the gateway's name
     * @param service the service's name
     * @param identity identifies the order
     * @return an allowance without requests
     */
    static TrialAllowance of(double share, String gateway, String service, RolloutIdentity identity) {
        long hash = RendezvousHash.weight(service + "/" + identity, gateway);
        return new TrialAllowance(share, (hash >>> HASH_SHIFT) / HASH_RANGE);
    }

    /** Tells whether the next request may go to the new build. */
    boolean permits() {
        boolean spaced = trials == 0 || total - totalAtTrial >= MAX_CATCH_UP / share;
        return spaced && trials + 1 <= Math.floor(share * (total + 1) + offset);
    }

    /** Records a request that was sent to another build. */
    void recordOther() {
        total++;
    }

    /** Records a request that was sent to the new build. */
    void recordTrial() {
        total++;
        trials++;
        totalAtTrial = total;
    }

    long total() {
        return total;
    }

    long trials() {
        return trials;
    }
}
