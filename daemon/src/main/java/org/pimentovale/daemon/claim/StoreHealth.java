package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * Tells whether the platform's store answers, so that work that needs it is refused at once during an outage.
 *
 * <p>Invariant: during an outage no request's work is let through; the periodic reads of the configuration find its
 * end. Thread safe; its lock is a leaf.
 */
public final class StoreHealth {
    private static final int FAILURES_BEFORE_UNAVAILABLE = 2;

    private final MonotonicClock clock;
    private int consecutiveFailures;
    private long lastResponseMs;

    /**
     * Creates the state of a store that is believed to answer.
     *
     * @param clock the time
     */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.lastResponseMs = clock.nowMs();
    }

    /**
     * Tells whether the store answers.
     *
     * @return false from the second call in a row without an answer until the next answer
     */
    public synchronized boolean available() {
        return consecutiveFailures < FAILURES_BEFORE_UNAVAILABLE;
    }

    /**
     * Records how a call ends.
     *
     * @param call the call
     * @return the same call
     */
    public <T> Future<T> track(Future<T> call) {
        return call.andThen(result -> {
            if (result.succeeded()) {
                recordResponse();
            } else {
                recordFailure();
            }
        });
    }

    private synchronized void recordResponse() {
        consecutiveFailures = 0;
        lastResponseMs = clock.nowMs();
    }

    private synchronized void recordFailure() {
        consecutiveFailures++;
    }

    /**
     * Returns how long the store has not answered.
     *
     * @return milliseconds since the last answer
     */
    public synchronized long timeSinceLastResponseMs() {
        return clock.nowMs() - lastResponseMs;
    }
}
