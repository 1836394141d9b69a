package org.pimentovale.kernel.retry;

/**
 * Bounds the retries of a pool to a share of its first attempts, so that a failing stage does not multiply load.
 *
 * <p>Invariant: 0 ≤ balance ≤ capacity. Thread safe; its lock is a leaf.
 */
public final class RetryBudget {
    private final double ratio;
    private final double capacity;
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param ratio retries for each first attempt
     * @param capacity the largest number of retries in a burst
     */
    public RetryBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.balance = capacity;
    }

    /** Records a first attempt. */
    public synchronized void recordFirstAttempt() {
        balance = Math.min(capacity, balance + ratio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether there was one
     */
    public synchronized boolean tryTakeRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
