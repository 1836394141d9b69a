package org.pimentovale.store.http;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Fails one call that gets no response in time.
 *
 * <p>Until its head arrives, a response has the timeout of the call, and some more if the event loop was busy. A body
 * that may take longer than that has extra time as long as its bytes arrive: a connection that goes silent within a
 * body is noticed as soon as one that goes silent before the head.
 *
 * <p>Invariant: the call ends within its timeout and the extra times of its kind of response. Thread safe.
 */
final class CallTimer {
    /** Time in which an event loop that was busy reads what has arrived meanwhile, in milliseconds. */
    private static final int READ_WAITING_BYTES_MS = 10;

    private final Vertx vertx;
    private final int timeoutMs;
    private final BodyTime bodyTime;
    private final BusyLoopAllowance allowance;
    private final ErrorCode failureCode;
    private final Promise<HttpResponse> promise;
    private final long startedNs = System.nanoTime();
    private boolean headReceived;
    private long lastBytesNs;
    private long timer;

    /**
     * Creates a timer that is not started.
     *
     * @param vertx runs timers
     * @param timeoutMs the timeout of the call, in milliseconds
     * @param bodyLimit the kind of the response
     * @param failureCode the error code of a call without a complete response
     * @param promise failed when the time is over
     */
    CallTimer(Vertx vertx, int timeoutMs, BodyLimit bodyLimit, ErrorCode failureCode, Promise<HttpResponse> promise) {
        this.vertx = vertx;
        this.timeoutMs = timeoutMs;
        this.bodyTime = bodyLimit.time();
        this.allowance = bodyLimit.newAllowance(timeoutMs);
        this.failureCode = failureCode;
        this.promise = promise;
    }

    synchronized void start() {
        setTimer(timeoutMs);
        promise.future().onComplete(result -> cancel());
    }

    /** Notes that the head of the response has arrived. */
    synchronized void noteHead() {
        headReceived = true;
        lastBytesNs = System.nanoTime();
        if (bodyTime.extendsCall() && !promise.future().isComplete()) {
            vertx.cancelTimer(timer);
            setTimer(bodyTime.silenceMs());
        }
    }

    /** Notes that a part of the body has arrived. */
    synchronized void noteBytes() {
        lastBytesNs = System.nanoTime();
    }

    private synchronized void cancel() {
        vertx.cancelTimer(timer);
    }

    private void setTimer(long delayMs) {
        long positiveMs = Math.max(1, delayMs);
        long dueNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(positiveMs);
        timer = vertx.setTimer(positiveMs, fired -> handleFired(elapsedMs(dueNs)));
    }

    private synchronized void handleFired(long latenessMs) {
        if (promise.future().isComplete()) {
            return;
        }
        if (headReceived && bodyTime.extendsCall()) {
            checkBody(latenessMs);
            return;
        }
        int extraMs = headReceived ? 0 : allowance.takeMs(latenessMs);
        if (extraMs > 0) {
            setTimer(extraMs);
        } else {
            fail("no complete response within " + timeoutMs + " ms");
        }
    }

    private void checkBody(long latenessMs) {
        long leftMs = timeoutMs + bodyTime.extraMs() - elapsedMs(startedNs);
        long silenceLeftMs = bodyTime.silenceMs() - elapsedMs(lastBytesNs);
        if (leftMs <= 0) {
            fail("no complete response within " + (timeoutMs + bodyTime.extraMs()) + " ms");
        } else if (silenceLeftMs > 0) {
            setTimer(Math.min(leftMs, silenceLeftMs));
        } else if (BusyLoopAllowance.isLate(latenessMs)) {
            setTimer(READ_WAITING_BYTES_MS);
        } else {
            fail("no byte of the response within " + bodyTime.silenceMs() + " ms");
        }
    }

    private void fail(String detail) {
        promise.tryFail(ServingException.unknown(failureCode, detail));
    }

    private static long elapsedMs(long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }
}
