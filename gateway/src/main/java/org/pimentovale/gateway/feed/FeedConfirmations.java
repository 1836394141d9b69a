package org.pimentovale.gateway.feed;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * The requests to confirm that a feed is up to date.
 *
 * <p>Requests that arrive while a check is in progress, or soon after one, share the next check, so that the load on
 * the store does not grow with their number. Invariants: a request is completed only by the response to a check that
 * was sent after it arrived; every request ends within {@link #TIMEOUT_MS}. Not thread safe; used on one event loop.
 */
final class FeedConfirmations {
    private static final int TIMEOUT_MS = 600;
    // A check leaves the previous watch behind, whose connection stays in use until that watch ends.
    private static final int MIN_INTERVAL_MS = 300;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Runnable check;
    private final List<Promise<Long>> waiting = new ArrayList<>();
    private final List<Promise<Long>> checked = new ArrayList<>();
    private long nextCheckMs = Long.MIN_VALUE;
    private boolean scheduled;

    /**
     * Creates an empty set of requests.
     *
     * @param vertx schedules the checks
     * @param clock the source of monotonic time
     * @param check sends a check, after which {@link #complete} or {@link #fail} is called
     */
    FeedConfirmations(Vertx vertx, MonotonicClock clock, Runnable check) {
        this.vertx = vertx;
        this.clock = clock;
        this.check = check;
    }

    /** Returns a future that completes with the covered time in milliseconds, or fails. */
    Future<Long> request() {
        Promise<Long> promise = Promise.promise();
        waiting.add(promise);
        long timer = vertx.setTimer(
                TIMEOUT_MS, fired -> promise.tryFail(unavailable("no response within " + TIMEOUT_MS + " ms")));
        scheduleCheck();
        return promise.future().andThen(ended -> vertx.cancelTimer(timer));
    }

    private void scheduleCheck() {
        waiting.removeIf(promise -> promise.future().isComplete());
        if (scheduled || waiting.isEmpty() || !checked.isEmpty()) {
            return;
        }
        long waitMs = nextCheckMs - clock.nowMs();
        if (nextCheckMs == Long.MIN_VALUE || waitMs <= 0) {
            sendCheck();
            return;
        }
        scheduled = true;
        vertx.setTimer(waitMs, fired -> {
            scheduled = false;
            sendCheck();
        });
    }

    private void sendCheck() {
        nextCheckMs = clock.nowMs() + MIN_INTERVAL_MS;
        checked.addAll(waiting);
        waiting.clear();
        check.run();
    }

    /** Completes the requests of the check in progress, if there is one. */
    void complete(long coveredMs) {
        endCheck().forEach(promise -> promise.tryComplete(coveredMs));
    }

    /** Fails the requests of the check in progress, if there is one. */
    void fail(ServingException failure) {
        endCheck().forEach(promise -> promise.tryFail(failure));
    }

    private List<Promise<Long>> endCheck() {
        List<Promise<Long>> ended = List.copyOf(checked);
        checked.clear();
        if (!ended.isEmpty()) {
            vertx.runOnContext(run -> scheduleCheck());
        }
        return ended;
    }

    private static ServingException unavailable(String detail) {
        return ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, detail);
    }
}
