package org.pimentovale.gateway.caller;

import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.port.ResponseHead;
import org.pimentovale.kernel.limit.ResponseMemory;
import org.pimentovale.kernel.response.ResponseEnd;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.response.BodyFraming;

/**
 * Decides what follows when an attempt of one request brings a response head, a response or a failure: whether the
 * request is sent to another endpoint, the response is relayed, or the request fails.
 *
 * <p>Invariant: an attempt that is closed, or whose request has ended, has no effect any more. Not thread safe; used on
 * one event loop.
 */
final class AttemptReaction {
    private static final double RESPONSE_TIMEOUT_GOAL_FRACTION = 0.6;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_MISDIRECTED_REQUEST = 421;
    private static final Set<Integer> REFUSAL_STATUSES = Set.of(408, STATUS_MISDIRECTED_REQUEST, 429, 503);

    private final CallerRequest request;
    private final CallerResponse callerResponse;
    private final GatewayTables tables;
    private final EndpointCodec codec;
    private final EndpointCandidates candidates;
    private final EndpointSender sender;
    private final SendHistory history;
    private final ShutdownGate shutdownGate;
    private final ResponseRecorder responses;
    private final AttemptRecorder recorder;
    private final Optional<ResponseMemory.Reservation> reservation;
    private final Continuation continuation;

    /** What the request does next. */
    interface Continuation {
        /** Tells whether the request has ended. */
        boolean ended();

        /** Sends the request to another endpoint if one may get it. */
        void dispatch();

        /** Ends the request with a failure. */
        void fail(ServingException failure);

        /** Returns the number of attempts that are running. */
        int runningAttempts();

        /** Called when an attempt has ended without a response for the caller. */
        void attemptLost(EndpointCall call);

        /**
         * Called once when the response of an attempt is the one that the caller gets: before its first byte is sent
         * to the caller, or after it was sent as a whole.
         */
        void responseWon(EndpointCall call, int status);

        /** Ends the request after its response was completed or broken off. */
        void end(String outcome, int status);
    }

    AttemptReaction(
            CallerRequest request,
            CallerResponse callerResponse,
            GatewayTables tables,
            EndpointCodec codec,
            EndpointCandidates candidates,
            EndpointSender sender,
            SendHistory history,
            ShutdownGate shutdownGate,
            ResponseRecorder responses,
            AttemptRecorder recorder,
            Optional<ResponseMemory.Reservation> reservation,
            Continuation continuation) {
        this.request = request;
        this.callerResponse = callerResponse;
        this.tables = tables;
        this.codec = codec;
        this.candidates = candidates;
        this.sender = sender;
        this.history = history;
        this.shutdownGate = shutdownGate;
        this.responses = responses;
        this.recorder = recorder;
        this.reservation = reservation;
        this.continuation = continuation;
    }

    /** Reacts to what an attempt brings from now on. */
    void await(EndpointCall call) {
        startResponseTimer(call);
        call.pendingRequest()
                .head()
                .onSuccess(response -> handleHead(call, response))
                .onFailure(failure -> attemptFailed(call, ServingException.of(failure)));
    }

    /**
     * Starts the timer after which an idempotent request is sent to another endpoint. The timeout is a fraction of the
     * latency goal, which leaves time for the second attempt.
     */
    private void startResponseTimer(EndpointCall call) {
        ServingRoute route = request.routed().route();
        if (route.kind() != RequestKind.IDEMPOTENT || !history.allowsAnotherBeside(1)) {
            return;
        }
        long timeoutMs = Math.max(1, Math.round(route.goalMs() * RESPONSE_TIMEOUT_GOAL_FRACTION));
        call.startResponseTimer(timeoutMs, () -> giveUp(call));
    }

    /** Ends an attempt that is slow if the request may be sent to another endpoint or has been already. */
    private void giveUp(EndpointCall call) {
        if (history.allowsAnotherBeside(continuation.runningAttempts()) && hasAlternative()) {
            attemptFailed(call, ServingException.unknown(ErrorCode.PROGRESS_TIMEOUT, "no response head in time"));
        }
    }

    private boolean active(EndpointCall call) {
        return !continuation.ended() && call.open();
    }

    private void attemptFailed(EndpointCall call, ServingException failure) {
        if (!active(call)) {
            return;
        }
        sender.recordFailure(call, failure);
        call.close();
        recorder.attemptFailed(call, failure);
        continuation.attemptLost(call);
        boolean notRun = failure.outcome() == Outcome.NOT_RUN;
        if (!notRun) {
            history.recordPossibleRun();
        }
        if (continuation.runningAttempts() > 0) {
            // The other copy of the request is its retry.
            return;
        }
        if (notRun || history.allowsAnotherEndpoint()) {
            continuation.dispatch();
        } else {
            continuation.fail(failure);
        }
    }

    private void handleHead(EndpointCall call, HttpClientResponse response) {
        if (!active(call)) {
            return;
        }
        call.cancelResponseTimer();
        ResponseHead head = sender.readHead(response);
        if (head.refuses(request.attempt().identifier())) {
            attemptRefused(call, head);
        } else if (!head.answers(request.attempt().identifier()) || REFUSAL_STATUSES.contains(head.status())) {
            attemptFailed(call, ServingException.unknown(ErrorCode.ANSWER_MISMATCHED, "status " + head.status()));
        } else if (head.status() >= 500 && mayTryAnotherEndpoint()) {
            attemptFailed(call, ServingException.unknown(ErrorCode.ENDPOINT_FAILED, "status " + head.status()));
        } else {
            if (head.status() >= 500) {
                // No other endpoint could get the request, so the failure is the response.
                call.cancelHedgeTimer();
            }
            relay(call, head.status(), response);
        }
    }

    private void relay(EndpointCall call, int status, HttpClientResponse response) {
        boolean stream = (request.isStream() || ResponseRelay.announcesEvents(response)) && status < 300;
        new ResponseRelay(
                        response,
                        callerResponse,
                        codec,
                        stream,
                        call.pendingRequest()::written,
                        () -> sender.endedUnannounced(call),
                        reservation,
                        new RelayedCall(call, status, stream))
                .start();
    }

    private boolean mayTryAnotherEndpoint() {
        return anotherRuns() || (history.allowsAnotherBeside(1) && hasAlternative());
    }

    private boolean hasAlternative() {
        return anotherRuns() || (candidates.hasUntried(tables.nowMs()) && shutdownGate.allowsAnotherCall());
    }

    /** Tells whether another attempt runs beside one that is still open. */
    private boolean anotherRuns() {
        return continuation.runningAttempts() > 1;
    }

    private void attemptRefused(EndpointCall call, ResponseHead head) {
        call.close();
        recorder.attemptRefused(call, head);
        continuation.attemptLost(call);
        if (head.delayMs().isPresent()) {
            candidates.markUntried(call.endpoint().latest().identifier());
        }
        if (continuation.runningAttempts() > 0) {
            // The other copy may be running, so the request must not be reported as "not run".
            return;
        }
        if (head.status() == STATUS_CONFLICT) {
            continuation.fail(history.createFailure(ErrorCode.STAGE_FAILED, "a stage result is no longer available"));
        } else {
            continuation.dispatch();
        }
    }

    /** Accounts for the response of one attempt while it is relayed to the caller. */
    private final class RelayedCall implements ResponseRelay.Listener {
        private final EndpointCall call;
        private final int status;
        private final boolean stream;
        private boolean won;

        private RelayedCall(EndpointCall call, int status, boolean stream) {
            this.call = call;
            this.status = status;
            this.stream = stream;
        }

        @Override
        public boolean active() {
            return AttemptReaction.this.active(call);
        }

        @Override
        public void begun(BodyFraming framing) {
            win();
            if (stream) {
                responses.streamBegun(call, framing);
            }
        }

        private void win() {
            if (!won) {
                won = true;
                continuation.responseWon(call, status);
            }
        }

        @Override
        public void continued() {
            responses.continued(call);
        }

        @Override
        public void ended(BodyFraming framing, ResponseEnd end, int receivedEvents) {
            responses.bodyEnded(call, framing, end, receivedEvents);
        }

        @Override
        public void completed() {
            win();
            recorder.attemptAnswered(call, status);
            continuation.end("answered", status);
        }

        @Override
        public void broken(String reason) {
            ServingException failure =
                    ServingException.unknown(stream ? ErrorCode.STREAM_TRUNCATED : ErrorCode.CONNECTION_LOST, reason);
            if (!callerResponse.started()) {
                attemptFailed(call, failure);
                return;
            }
            sender.recordFailure(call, failure);
            recorder.attemptBrokeOff(call, failure);
            callerResponse.abort();
            continuation.end(failure.getMessage(), 0);
        }
    }
}
