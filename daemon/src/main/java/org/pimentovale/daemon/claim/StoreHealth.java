package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * Tells whether the platform's store answers, so that work that needs it is refused at once during an outage.
 *
 * <p>Invariant: during an outage at most one call in each probe period is let through. Thread safe; its lock is a leaf.
 */
public final class StoreHealth {
    private static final int FAILURES_OF_AN_OUTAGE = 2;
    private static final long PROBE_PERIOD_MS = 250;

    private final MonotonicClock clock;
    private int consecutiveFailures;
    private long lastProbeMs = Long.MIN_VALUE / 2;
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
     * Tells whether a call may be tried.
     *
     * @return true while the store answers, and once in each probe period while it does not
     */
    public synchronized boolean available() {
        if (consecutiveFailures < FAILURES_OF_AN_OUTAGE) {
            return true;
        }
        long nowMs = clock.nowMs();
        if (nowMs - lastProbeMs < PROBE_PERIOD_MS) {
            return false;
        }
        lastProbeMs = nowMs;
        return true;
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
