package org.pimentovale.gateway.feed;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.pimentovale.kernel.history.StoreOutage;

/**
 * What a feed knows about the availability of the store, and how long it waits before it asks again.
 *
 * <p>Invariant: the delay after a failure is at most one and a half times the greatest of its {@link RetryBackoff}.
 * Not thread safe; used on one event loop.
 */
final class StoreContact {
    private static final int IMMEDIATE_RETRY_MS = 1;

    private final RandomGenerator random;
    private boolean available = true;
    private boolean restored;
    private long sentMs;
    private long lastResponseMs;
    private long lastContactMs;
    private long lastFailureMs;
    private int backoffMs;
    private boolean lastFailureWasHistoryLoss;

    /**
     * Creates the state of a store that is taken to be available.
     *
     * @param random adds jitter to the delays, so that gateways do not retry at the same time
     */
    StoreContact(RandomGenerator random) {
        this.random = random;
    }

    /** Tells whether the last request was answered. */
    boolean available() {
        return available;
    }

    /** Returns when the last response arrived, in milliseconds of the monotonic clock. */
    long lastResponseMs() {
        return lastResponseMs;
    }

    void recordRequest(long nowMs) {
        sentMs = nowMs;
    }

    /** Records a response; returns the outage that it ends, empty if there was none. */
    Optional<StoreOutage> recordResponse(long nowMs) {
        Optional<StoreOutage> ended =
                available ? Optional.empty() : Optional.of(new StoreOutage(lastContactMs, lastFailureMs, restored));
        available = true;
        restored = false;
        lastResponseMs = nowMs;
        return ended;
    }

    /** Records that the changes are complete up to now, so that the next failure is the first of a new series. */
    void resetBackoff() {
        backoffMs = 0;
        lastFailureWasHistoryLoss = false;
    }

    /**
     * Records a request without a usable response. The first one begins an outage after the last contact, as a long
     * watch that is interrupted tells nothing of the time before.
     *
     * @param confirmedMs when the store was last known to answer another gateway, in milliseconds
     * @return whether the store was taken to be available before
     */
    boolean recordFailure(long confirmedMs) {
        boolean noticed = available;
        if (noticed) {
            lastContactMs = Math.max(lastResponseMs, confirmedMs);
        }
        available = false;
        lastFailureMs = sentMs;
        return noticed;
    }

    /** Records that the store was restored, which the next response ends like an outage. */
    void recordRestore() {
        restored = true;
        recordFailure(lastResponseMs);
    }

    /**
     * Returns the delay before the request that follows a failure. The first list after lost history is requested at
     * once; if the history after that list is lost as well, another immediate request would only add load.
     *
     * @param historyLost whether the failure is lost history
     * @param backoff how the delays grow
     */
    int nextDelayMs(boolean historyLost, RetryBackoff backoff) {
        backoffMs = backoff.limit(backoffMs);
        int delayMs = historyLost && !lastFailureWasHistoryLoss
                ? IMMEDIATE_RETRY_MS
                : backoffMs / 2 + random.nextInt(backoffMs);
        lastFailureWasHistoryLoss = historyLost;
        backoffMs = backoff.limit(backoffMs * 2);
        return delayMs;
    }
}
