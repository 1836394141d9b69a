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
    private static final int FAILURES_OF_AN_OUTAGE = 2;

    private final MonotonicClock clock;
    private int consecutiveFailures;
    private long lastAnswerMs;

    /**
     * Creates the state of a store that is believed to answer.
     *
     * @param clock the time
     */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.lastAnswerMs = clock.nowMs();
    }

    /**
     * Tells whether the store answers.
     *
     * @return false from the second call in a row without an answer until the next answer
     */
    public synchronized boolean available() {
        return consecutiveFailures < FAILURES_OF_AN_OUTAGE;
    }

    /**
     * Records how a call ends.
     *
     * @param call the call
     * @return the same call
     */
    public <T> Future<T> watch(Future<T> call) {
        return call.andThen(result -> {
            if (result.succeeded()) {
                recordAnswer();
            } else {
                recordFailure();
            }
        });
    }

    private synchronized void recordAnswer() {
        consecutiveFailures = 0;
        lastAnswerMs = clock.nowMs();
    }

    private synchronized void recordFailure() {
        consecutiveFailures++;
    }

    /**
     * Returns how long the store has not answered.
     *
     * @return milliseconds since the last answer
     */
    public synchronized long silenceMs() {
        return clock.nowMs() - lastAnswerMs;
    }
}
