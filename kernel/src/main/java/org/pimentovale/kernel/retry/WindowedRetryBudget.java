package org.pimentovale.kernel.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one instance to its share of a limit that applies to all instances together.
 *
 * <p>Each instance may use the ratio of its own first attempts, plus a part of the slack divided by the number of
 * instances. What an instance that was restarted used before is unknown after the restart, so an instance that has not
 * run for a window yet gets a smaller part, and the parts of an instance before and after one restart add up to its
 * whole share. The sum stays within the common limit without coordination messages.
 *
 * <p>Invariant: when a retry is granted, the retries within the window do not exceed the ratio of the first attempts
 * plus the instance's part of the slack, nor the maximum. Not thread safe.
 */
public final class WindowedRetryBudget {
    private static final double RESTARTED_PART = 0.2;
    private static final double ESTABLISHED_PART = 1 - RESTARTED_PART;

    private final double ratio;
    private final double slack;
    private final long windowMs;
    private final long startedMs;
    private final double maximum;
    private final Deque<Long> firstAttempts = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param ratio the number of retries per first attempt
     * @param slack the number of additional retries per window, over all instances
     * @param windowMs the length of the sliding window in milliseconds
     * @param startedMs when this instance started, in milliseconds
     */
    public WindowedRetryBudget(double ratio, double slack, long windowMs, long startedMs) {
        this(ratio, slack, windowMs, startedMs, Double.MAX_VALUE);
    }

    /**
     * Creates an unused budget that has a maximum.
     *
     * @param ratio the number of retries per first attempt
     * @param slack the number of additional retries per window, over all instances
     * @param windowMs the length of the sliding window in milliseconds
     * @param startedMs when this instance started, in milliseconds
     * @param maximum the number of retries per window that is never exceeded
     */
    public WindowedRetryBudget(double ratio, double slack, long windowMs, long startedMs, double maximum) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMs = windowMs;
        this.startedMs = startedMs;
        this.maximum = maximum;
    }

    /**
     * Records a first attempt.
     *
     * @param nowMs the current time in milliseconds
     */
    public void recordFirstAttempt(long nowMs) {
        removeExpired(firstAttempts, nowMs);
        firstAttempts.addLast(nowMs);
    }

    /**
     * Takes one retry from the budget if the limit allows it.
     *
     * @param instances the greatest number of instances that were known lately, including this one; instances that have
     *     left may have used their parts within the window
     * @param nowMs the current time in milliseconds
     * @return true if the retry is allowed
     */
    public boolean tryTakeRetry(int instances, long nowMs) {
        if (usedRetries(nowMs) + 1 > allowedRetries(instances, nowMs)) {
            return false;
        }
        retries.addLast(nowMs);
        return true;
    }

    /**
     * Returns how much of the budget is left.
     *
     * @param instances the greatest number of instances that were known lately, including this one
     * @param nowMs the current time in milliseconds
     * @return a share between zero and one, zero if no retry is allowed now
     */
    public double leftShare(int instances, long nowMs) {
        double allowed = allowedRetries(instances, nowMs);
        int used = usedRetries(nowMs);
        return used + 1 > allowed ? 0 : 1 - used / allowed;
    }

    private int usedRetries(long nowMs) {
        removeExpired(retries, nowMs);
        return retries.size();
    }

    private double allowedRetries(int instances, long nowMs) {
        removeExpired(firstAttempts, nowMs);
        double part = nowMs - startedMs < windowMs ? RESTARTED_PART : ESTABLISHED_PART;
        return Math.min(maximum, ratio * firstAttempts.size() + part * slack / Math.max(1, instances));
    }

    private void removeExpired(Deque<Long> times, long nowMs) {
        while (!times.isEmpty() && nowMs - times.peekFirst() >= windowMs) {
            times.pollFirst();
        }
    }
}
