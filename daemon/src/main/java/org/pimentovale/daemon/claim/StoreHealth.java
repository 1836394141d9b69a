package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * Tracks whether the platform's store is available, so that work that needs it is refused immediately during an outage.
 *
 * <p>Invariant: during an outage requests make no store calls; the periodic reads of the configuration detect its end.
 * Thread safe; it takes no other lock while it holds its own.
 */
public final class StoreHealth {
    private static final int FAILURES_BEFORE_UNAVAILABLE = 2;

    private final MonotonicClock clock;
    private int consecutiveFailures;
    private long lastResponseMs;
    private long lastAnsweredCallMs;

    /**
     * Creates the state of a store that is assumed to be available.
     *
     * @param clock clock for the time since the last response
     */
    public StoreHealth(MonotonicClock clock) {
        this.clock = clock;
        this.lastResponseMs = clock.nowMs();
        this.lastAnsweredCallMs = lastResponseMs;
    }

    /**
     * Tells whether the store is available.
     *
     * @return false from the second consecutive failed call until the next successful call
     */
    public synchronized boolean available() {
        return consecutiveFailures < FAILURES_BEFORE_UNAVAILABLE;
    }

    /**
     * Records the result of a store call when it completes.
     *
     * @param call future of the call
     * @return a future with the result of the call
     */
    public <T> Future<T> track(Future<T> call) {
        long startedMs = clock.nowMs();
        return call.andThen(result -> {
            if (result.succeeded()) {
                recordResponse(startedMs);
            } else {
                recordFailure();
            }
        });
    }

    private synchronized void recordResponse(long startedMs) {
        consecutiveFailures = 0;
        lastResponseMs = clock.nowMs();
        lastAnsweredCallMs = Math.max(lastAnsweredCallMs, startedMs);
    }

    private synchronized void recordFailure() {
        consecutiveFailures++;
    }

    /**
     * Returns the time since the last successful store call.
     *
     * @return milliseconds since the last successful call, or since the start if there was none
     */
    public synchronized long timeSinceLastResponseMs() {
        return clock.nowMs() - lastResponseMs;
    }

    /**
     * Returns the time since the start of the latest successful store call. What the store did before that time is
     * known, even if the response waited for a suspended instance.
     *
     * @return milliseconds since that call started, or since the start of the instance if there was none
     */
    public synchronized long knownSinceMs() {
        return clock.nowMs() - lastAnsweredCallMs;
    }
}
