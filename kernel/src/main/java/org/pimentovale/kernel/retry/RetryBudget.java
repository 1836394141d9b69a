package org.pimentovale.kernel.retry;

/**
 * Limits the retries of a pool to a ratio of its first attempts, so that a failing stage does not multiply the load.
 *
 * <p>Invariant: 0 ≤ balance ≤ capacity. Thread safe; no other lock is acquired while its lock is held.
 */
public final class RetryBudget {
    private final double ratio;
    private final double capacity;
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param ratio the number of retries that each first attempt adds
     * @param capacity the maximum number of retries in a burst
     */
    public RetryBudget(double ratio, double capacity) {
        this.ratio = ratio;
        this.capacity = capacity;
        this.balance = capacity;
    }

    /** Records a first attempt, which adds to the budget. */
    public synchronized void recordFirstAttempt() {
        balance = Math.min(capacity, balance + ratio);
    }

    /**
     * Takes one retry from the budget if the balance allows it.
     *
     * @return true if the retry is allowed
     */
    public synchronized boolean tryTakeRetry() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
