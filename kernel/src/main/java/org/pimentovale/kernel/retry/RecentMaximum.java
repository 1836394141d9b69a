package org.pimentovale.kernel.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The greatest of the values that were observed within a sliding window.
 *
 * <p>Invariant: the remembered observations have ascending times and descending values. Not thread safe.
 */
public final class RecentMaximum {
    private final long windowMs;
    private final Deque<Observation> observations = new ArrayDeque<>();

    private record Observation(int value, long lastMs) {}

    /**
     * Creates a maximum without observations.
     *
     * @param windowMs how long a value counts after it was last observed, in milliseconds
     */
    public RecentMaximum(long windowMs) {
        this.windowMs = windowMs;
    }

    /**
     * Records a value.
     *
     * @param value the value
     * @param nowMs the current time in milliseconds, never before an earlier one
     */
    public void observe(int value, long nowMs) {
        while (!observations.isEmpty() && observations.peekLast().value() <= value) {
            observations.pollLast();
        }
        observations.addLast(new Observation(value, nowMs));
        removeExpired(nowMs);
    }

    /**
     * Returns the greatest value within the window.
     *
     * @param nowMs the current time in milliseconds
     * @return the value, zero if none was observed
     */
    public int get(long nowMs) {
        removeExpired(nowMs);
        return observations.isEmpty() ? 0 : observations.peekFirst().value();
    }

    private void removeExpired(long nowMs) {
        while (!observations.isEmpty() && nowMs - observations.peekFirst().lastMs() > windowMs) {
            observations.pollFirst();
        }
    }
}
