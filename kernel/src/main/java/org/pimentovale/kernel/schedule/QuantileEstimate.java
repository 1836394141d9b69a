package org.pimentovale.kernel.schedule;

/**
 * Follows a quantile of a changing distribution by stochastic approximation, with steps in proportion to the estimate.
 *
 * <p>Invariant: the estimate is positive. Not thread safe; guarded by the scheduler's lock.
 */
final class QuantileEstimate {
    private static final double STEP = 0.05;
    private static final double LOWEST = 0.5;

    private final double share;
    private double estimate;

    /**
     * Creates an estimate.
     *
     * @param share the share of samples below the quantile, between zero and one
     * @param initial the estimate before the first sample
     */
    QuantileEstimate(double share, double initial) {
        this.share = share;
        this.estimate = Math.max(LOWEST, initial * share);
    }

    void add(double sample) {
        double step = sample < estimate ? -(1 - share) : share;
        estimate = Math.max(LOWEST, estimate * (1 + STEP * step));
    }

    double value() {
        return estimate;
    }
}
