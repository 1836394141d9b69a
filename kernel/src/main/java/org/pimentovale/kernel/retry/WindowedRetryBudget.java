package org.pimentovale.kernel.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the repeats of one instance to its part of a bound that all instances share.
 *
 * <p>Each instance may use the ratio of its own first sends, and the slack divided by the instances that may live, so
 * that the sum keeps the bound without any message. Invariant: within any window there are no more repeats than the
 * ratio of the first sends in it and the instance's part of the slack. Not thread safe.
 */
public final class WindowedRetryBudget {
    private final double ratio;
    private final double slack;
    private final long windowMs;
    private final Deque<Long> firstAttempts = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param ratio repeats for each first send
     * @param slack repeats of all instances besides, in one window
     * @param windowMs the window in milliseconds
     */
    public WindowedRetryBudget(double ratio, double slack, long windowMs) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
    }

    /**
     * Records a first send.
     *
     * @param nowMs the time in milliseconds
     */
    public void recordFirstAttempt(long nowMs) {
        removeExpired(firstAttempts, nowMs);
        firstAttempts.addLast(nowMs);
    }

    /**
     * Takes one repeat.
     *
     * @param instances the instances that may live, this one included
     * @param nowMs the time in milliseconds
     * @return whether there was one
     */
    public boolean tryTakeRetry(int instances, long nowMs) {
        removeExpired(firstAttempts, nowMs);
        removeExpired(retries, nowMs);
        double allowed = ratio * firstAttempts.size() + slack / Math.max(1, instances);
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(nowMs);
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowMs) {
        while (!times.isEmpty() && nowMs - times.peekFirst() >= windowMs) {
            times.pollFirst();
        }
    }
}
