package org.pimentovale.kernel.schedule;

/**
 * Follows a quantile of a changing distribution by stochastic approximation, with steps in proportion to the estimate.
 *
 * <p>Invariant: the estimate is positive. Not thread safe; guarded by the scheduler's lock.
 */
final class QuantileEstimator {
    private static final double STEP_RATIO = 0.05;
    private static final double MIN_ESTIMATE = 0.5;

    private final double quantile;
    private double estimate;

    /**
     * Creates an estimate.
     *
     * @param quantile the share of samples below the quantile, between zero and one
     * @param initial the estimate before the first sample
     */
    QuantileEstimator(double quantile, double initial) {
        this.quantile = quantile;
        this.estimate = Math.max(MIN_ESTIMATE, initial * quantile);
    }

    void add(double sample) {
        double step = sample < estimate ? -(1 - quantile) : quantile;
        estimate = Math.max(MIN_ESTIMATE, estimate * (1 + STEP_RATIO * step));
    }

    double value() {
        return estimate;
    }
}
