package org.pimentovale.gateway.caller;

import io.vertx.core.Vertx;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.rollout.CallSample;
import org.pimentovale.kernel.directory.EndpointState;

/**
 * One attempt to run a request at one endpoint.
 *
 * <p>Invariant: the call and its tokens count as running at its endpoint until it is closed. Not thread safe; used on
 * one event loop.
 */
final class EndpointCall {
    private static final int FIRST_FAILURE_STATUS = 500;

    private final Vertx vertx;
    private final EndpointState endpoint;
    private final EndpointClient.PendingRequest pendingRequest;
    private final CallSample sample;
    private final long sentMs;
    private final long tokens;
    private boolean open = true;
    private boolean answerContinued;
    private long responseTimer = -1;
    private long hedgeTimer = -1;

    EndpointCall(
            Vertx vertx,
            EndpointState endpoint,
            EndpointClient.PendingRequest pendingRequest,
            CallSample sample,
            long sentMs,
            long tokens) {
        this.vertx = vertx;
        this.endpoint = endpoint;
        this.pendingRequest = pendingRequest;
        this.sample = sample;
        this.sentMs = sentMs;
        this.tokens = tokens;
        endpoint.startCall(tokens);
    }

    EndpointState endpoint() {
        return endpoint;
    }

    EndpointClient.PendingRequest pendingRequest() {
        return pendingRequest;
    }

    /** Returns the record of the call as evidence on the endpoint's build. */
    CallSample sample() {
        return sample;
    }

    /** Records a whole response. */
    void recordAnswer(int status) {
        sample.answered(status >= FIRST_FAILURE_STATUS);
        if (status < FIRST_FAILURE_STATUS) {
            endpoint.recordSuccess();
        }
    }

    /** Records that the time of the request was over before the response was whole. */
    void recordExpiry() {
        if (open) {
            sample.failed();
        }
    }

    long sentMs() {
        return sentMs;
    }

    boolean open() {
        return open;
    }

    /** Tells whether the endpoint continued its answer after its beginning. */
    boolean answerContinued() {
        return answerContinued;
    }

    void markAnswerContinued() {
        answerContinued = true;
    }

    /** Runs an action if no response head has arrived in time. */
    void startResponseTimer(long timeoutMs, Runnable action) {
        responseTimer = vertx.setTimer(timeoutMs, fired -> action.run());
    }

    void cancelResponseTimer() {
        vertx.cancelTimer(responseTimer);
    }

    /** Runs an action if no response has been chosen for the caller in time. */
    void startHedgeTimer(long delayMs, Runnable action) {
        hedgeTimer = vertx.setTimer(delayMs, fired -> action.run());
    }

    void cancelHedgeTimer() {
        vertx.cancelTimer(hedgeTimer);
    }

    /** Cancels the call if it is still running. */
    void close() {
        if (open) {
            open = false;
            endpoint.endCall(tokens);
            sample.end();
            cancelResponseTimer();
            cancelHedgeTimer();
            pendingRequest.cancel();
        }
    }
}
