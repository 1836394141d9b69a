package org.pimentovale.gateway.caller;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.CallerAttempt.ResumedStream;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.directory.EndpointWait;
import org.pimentovale.kernel.limit.ResponseMemory;
import org.pimentovale.kernel.serving.ServingService;

/**
 * Executes one request of a caller: runs its stages, sends it to an endpoint and relays the response.
 *
 * <p>Invariants: a request that may have run is retried only if its route allows that; a failure is reported with
 * outcome "not run" only if the request was not sent or each endpoint stated that it has not run it; an execution ends
 * exactly once, and then its calls, stages and timers are cancelled. Not thread safe; used on one event loop.
 */
public final class RequestExecution {
    private static final long DEFAULT_RETRY_AFTER_MS = 300;

    private final CallerRequest request;
    private final CallerResponse callerResponse;
    private final GatewayTables tables;
    private final RequestServices services;
    private final Consumer<RequestExecution> onEnd;
    private final EndpointCandidates candidates;
    private final RequestLog log;
    private final SendHistory history;
    private final ShutdownGate shutdownGate;
    private final RequestAttempts attempts;
    private final AttemptReaction reaction;
    private final RequestHedge hedge;
    private Optional<StagePhase> stagePhase = Optional.empty();
    private Optional<List<String>> stageResults = Optional.empty();
    private boolean started;
    private boolean ended;
    private long deadlineTimer = -1;
    private long dispatchStartedMs = -1;

    /**
     * Creates an execution.
     *
     * @param request the request, whose body must be complete when {@link #start} is called, after {@link #awaitBody}
     * @param callerResponse writes the response
     * @param tables the gateway's state
     * @param services the collaborators of the execution
     * @param onEnd called once with this execution when it ends
     */
    public RequestExecution(
            CallerRequest request,
            CallerResponse callerResponse,
            GatewayTables tables,
            RequestServices services,
            Consumer<RequestExecution> onEnd) {
        this.request = request;
        this.callerResponse = callerResponse;
        this.tables = tables;
        this.services = services;
        this.onEnd = onEnd;
        this.candidates = new EndpointCandidates(request, tables);
        this.log = new RequestLog(request, tables);
        this.history = new SendHistory(request.routed().route());
        this.shutdownGate = new ShutdownGate(request, tables, services.shutdown(), log);
        EndpointSender sender = new EndpointSender(request, tables, services);
        ResponseRecorder responses = new ResponseRecorder(request, tables, services, log);
        AttemptRecorder recorder =
                new AttemptRecorder(request, tables, services, candidates, shutdownGate, responses, log);
        this.attempts = new RequestAttempts(request, tables, services, candidates, sender, history, recorder);
        this.reaction = new AttemptReaction(
                request,
                callerResponse,
                tables,
                services.endpointCodec(),
                candidates,
                sender,
                history,
                shutdownGate,
                responses,
                recorder,
                reserveResponse(),
                new Continuation());
        this.hedge = new RequestHedge(
                request,
                tables,
                services,
                candidates,
                attempts,
                history,
                log,
                endpoint -> sendNow(endpoint, request.deadlineMs() - tables.nowMs()));
    }

    /** Creates the reservation for the response, which ends when nothing of the response is left in this process. */
    private Optional<ResponseMemory.Reservation> reserveResponse() {
        if (!services.responseMemory().enabled()) {
            return Optional.empty();
        }
        ResponseMemory.Reservation reservation = services.responseMemory().newReservation();
        callerResponse.written().onComplete(done -> reservation.close());
        return Optional.of(reservation);
    }

    /** Starts the timer of the deadline, which counts while the body is still being received. */
    void awaitBody() {
        long remainingMs = request.deadlineMs() - tables.nowMs();
        deadlineTimer = services.vertx().setTimer(Math.max(1, remainingMs), fired -> expire());
    }

    /** Starts the execution after the request has been read completely. */
    public void start() {
        if (ended) {
            return;
        }
        started = true;
        if (refuseInShutdown(shutdownGate.checkRequest()) || refuseQuarantined()) {
            return;
        }
        if (request.isStream() && request.attempt().resumed().isPresent()) {
            resume(request.attempt().resumed().get());
        } else {
            run();
        }
    }

    private void resume(ResumedStream stream) {
        new StreamResumption(services.origins(), candidates, log)
                .restrict(stream, request.routed().route())
                .onSuccess(restricted -> run())
                .onFailure(failure -> fail(ServingException.of(failure)));
    }

    private void run() {
        if (ended || refuseUnbuffered() || refuseOversized()) {
            return;
        }
        if (request.routed().route().stages().isEmpty()) {
            dispatch();
            return;
        }
        // Prefers to run the stages in the zone where the request will probably run, close to where results are read.
        Optional<String> zone = candidates.choose(tables.nowMs()).map(endpoint -> endpoint.latest()
                .zone());
        StagePhase phase = new StagePhase(services, request, tables, zone);
        stagePhase = Optional.of(phase);
        phase.start()
                .onSuccess(results -> {
                    stageResults = Optional.of(results);
                    dispatch();
                })
                .onFailure(failure -> fail(ServingException.of(failure)));
    }

    private boolean refuseInShutdown(Optional<ServingException> refusal) {
        refusal.ifPresent(this::fail);
        return refusal.isPresent();
    }

    private boolean refuseQuarantined() {
        OptionalLong remainingMs = services.suspects()
                .remainingQuarantineMs(() -> request.attempt().sharedParts(), request::fingerprint);
        if (remainingMs.isEmpty()) {
            return false;
        }
        fail(history.createFailure(
                        ErrorCode.REQUEST_QUARANTINED,
                        "endpoints were lost while they ran it or requests that share a prompt part with it")
                .withRetryAfter(remainingMs.getAsLong()));
        return true;
    }

    /** Refuses a request whose response could not be held if its caller reads slowly, before its stages run. */
    private boolean refuseUnbuffered() {
        ResponseMemory memory = services.responseMemory();
        if (!memory.full()) {
            return false;
        }
        fail(history.createFailure(
                        ErrorCode.OVERLOADED,
                        "no memory for the response, " + memory.reservedBytes() + " bytes are not read yet")
                .withRetryAfter(memory.retryAfterMs()));
        return true;
    }

    /** Refuses a request that no endpoint of its service can hold, before its stages run. */
    private boolean refuseOversized() {
        ServingService service = candidates.service();
        long tokens = request.attempt().tokens();
        if (service.canHold(tokens)) {
            return false;
        }
        services.metrics().recordEngineMemory(service.name(), "refused");
        // No endpoint can take it before its deadline, so an earlier attempt would be refused again.
        fail(history.createFailure(
                        ErrorCode.ENGINE_MEMORY_EXCEEDED,
                        "needs " + tokens + " tokens, more than an endpoint of service " + service.name() + " holds")
                .withRetryAfter(Math.max(1, request.deadlineMs() - tables.nowMs())));
        return true;
    }

    private void dispatch() {
        if (ended) {
            return;
        }
        long nowMs = tables.nowMs();
        if (dispatchStartedMs < 0) {
            dispatchStartedMs = nowMs;
        }
        if (refuseQuarantined()) {
            return;
        }
        Optional<EndpointState> chosen = candidates.choose(nowMs);
        long delayMs = chosen.isEmpty() ? 0 : services.suspects().sendDelayMs(request::lostRequest);
        if (chosen.isEmpty()) {
            waitForEndpoint(nowMs);
        } else if (delayMs > 0) {
            services.vertx().setTimer(delayMs, fired -> dispatch());
        } else if (chosen.get().requestLimit().isEmpty()) {
            sendWithinRetryBudget(chosen.get());
        } else {
            services.permits().acquire(chosen.get()).onSuccess(allowed -> handlePermit(chosen.get(), allowed));
        }
    }

    private void handlePermit(EndpointState endpoint, boolean allowed) {
        if (ended || refuseQuarantined()) {
            return;
        }
        if (allowed && candidates.isStillAvailable(endpoint, tables.nowMs())) {
            sendWithinRetryBudget(endpoint);
        } else {
            dispatch();
        }
    }

    private void sendWithinRetryBudget(EndpointState endpoint) {
        ServingService service = candidates.service();
        if (history.sentBefore() && !tables.tryTakeRetry(service.name())) {
            fail(history.createFailure(
                    ErrorCode.RETRY_BUDGET_EXHAUSTED, "no retry left for service " + service.name()));
        } else {
            send(endpoint);
        }
    }

    private void waitForEndpoint(long nowMs) {
        EndpointWait wait = candidates.decideWait(nowMs - dispatchStartedMs, nowMs);
        if (history.mayHaveRun() || candidates.isBuildGone() || !wait.waits()) {
            fail(history.createFailure(ErrorCode.NO_ENDPOINT, candidates.unavailability(nowMs))
                    .withRetryAfter(wait.retryAfterMs()));
            return;
        }
        services.vertx().setTimer(wait.delayMs(), fired -> dispatch());
    }

    private void send(EndpointState endpoint) {
        long remainingMs = request.deadlineMs() - tables.nowMs();
        if (remainingMs <= 0) {
            expire();
            return;
        }
        if (refuseInShutdown(shutdownGate.checkResponse(0))) {
            return;
        }
        hedge.watch(sendNow(endpoint, remainingMs));
    }

    private EndpointCall sendNow(EndpointState endpoint, long remainingMs) {
        EndpointCall call = attempts.send(endpoint, remainingMs, stageResults);
        reaction.await(call);
        return call;
    }

    /** What the reaction to an attempt does with the request. */
    private final class Continuation implements AttemptReaction.Continuation {
        @Override
        public boolean ended() {
            return ended;
        }

        @Override
        public void dispatch() {
            RequestExecution.this.dispatch();
        }

        @Override
        public void fail(ServingException failure) {
            RequestExecution.this.fail(failure);
        }

        @Override
        public int runningAttempts() {
            return attempts.runningCount();
        }

        @Override
        public void attemptLost(EndpointCall call) {
            hedge.attemptLost(call);
        }

        @Override
        public void responseWon(EndpointCall call, int status) {
            hedge.responseWon(call, status);
            attempts.cancelOthers(call);
            stagePhase.ifPresent(StagePhase::end);
        }

        @Override
        public void end(String outcome, int status) {
            RequestExecution.this.end(outcome, status);
        }
    }

    /** Refuses the request if it would not end before the gateway does, unless an endpoint may be running it. */
    void refuseIfTooLate() {
        if (ended || attempts.mayRun()) {
            return;
        }
        refuseInShutdown(
                started
                        ? shutdownGate.checkResponse(
                                stagePhase.map(StagePhase::unstartedMs).orElse(0L))
                        : shutdownGate.checkRequest());
    }

    /** Ends the request because the process ends: the caller would otherwise get no answer. */
    void abandon() {
        log.abandoned(attempts.running());
        if (attempts.mayRun()) {
            fail(ServingException.unknown(ErrorCode.PROGRESS_TIMEOUT, "the gateway shut down"));
        } else {
            fail(ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "the gateway shut down")
                    .withRetryAfter(shutdownGate.retryAfterMs()));
        }
    }

    private void expire() {
        attempts.running().ifPresent(EndpointCall::recordExpiry);
        fail(new ServingException(
                ErrorCode.DEADLINE_EXCEEDED,
                attempts.mayRun() ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                "deadline has passed"));
    }

    /** Ends the request with a failure, or breaks its response off if that has begun. */
    void fail(ServingException failure) {
        if (ended) {
            return;
        }
        if (callerResponse.started()) {
            callerResponse.abort();
            end(failure.getMessage(), 0);
            return;
        }
        boolean notRun = failure.outcome() == Outcome.NOT_RUN && !history.mayHaveRun();
        ServingException reported = failure.withOutcome(notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN);
        end(
                reported.getMessage(),
                callerResponse.sendFailure(reported, reported.retryAfterMs().orElse(DEFAULT_RETRY_AFTER_MS)));
    }

    /** Ends the execution because the caller closed its connection. */
    public void callerDisconnected() {
        if (!ended) {
            end("caller-left", 0);
        }
    }

    private void end(String outcome, int status) {
        ended = true;
        services.vertx().cancelTimer(deadlineTimer);
        hedge.requestEnded();
        attempts.cancelRunning();
        stagePhase.ifPresent(StagePhase::end);
        long elapsedMs = tables.nowMs() - request.arrivedMs();
        services.metrics().recordRequest(request.routed().route().name(), status, RequestLog.label(outcome), elapsedMs);
        log.info("request_ended", "status", status, "outcome", outcome, "elapsed_ms", elapsedMs);
        onEnd.accept(this);
    }
}
