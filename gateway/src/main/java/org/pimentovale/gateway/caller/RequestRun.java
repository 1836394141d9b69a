package org.pimentovale.gateway.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.port.DispatchContext;
import org.pimentovale.gateway.port.ResponseHead;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.log.Events;

/**
 * One request of a caller, from its last byte to the end of its answer.
 *
 * <p>Invariants: a request that may have run is sent on only where its route allows a repeat; a refusal is given only
 * where nothing was sent or each endpoint stated that it has not run the request; the run ends once, and then nothing
 * of it goes on anywhere. Not thread safe; used on one event loop.
 */
public final class RequestRun {
    private static final Logger LOG = Logger.getLogger(RequestRun.class);
    private static final int ENDPOINT_CHECK_MS = 25;
    private static final int HELD_SHARE_OF_GOAL = 8;
    private static final double SILENCE_SHARE_OF_GOAL = 0.6;
    private static final long RETRY_AFTER_MS = 300;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_OTHER_ENDPOINT = 421;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, STATUS_OTHER_ENDPOINT, 429, 503);

    private final CallerRequest request;
    private final CallerAnswer answer;
    private final GatewayTables tables;
    private final RequestServices services;
    private final Consumer<RequestRun> onEnd;
    private final EndpointCandidates candidates;
    private Optional<StagePhase> stagePhase = Optional.empty();
    private Optional<List<String>> stageResults = Optional.empty();
    private Optional<EndpointCall> current = Optional.empty();
    private boolean ended;
    private boolean mayHaveRun;
    private boolean sentBefore;
    private int endpointsThatMayHaveRun;
    private long deadlineTimer = -1;
    private long dispatchStartedMs = -1;

    /** One sending of the request to one endpoint. */
    private final class EndpointCall {
        private final EndpointState endpoint;
        private final EndpointClient.Sending sending;
        private final long sentMs = tables.nowMs();
        private boolean open = true;
        private long silenceTimer = -1;

        private EndpointCall(EndpointState endpoint, EndpointClient.Sending sending) {
            this.endpoint = endpoint;
            this.sending = sending;
            endpoint.startCall();
        }

        private void close() {
            if (open) {
                open = false;
                endpoint.endCall();
                services.vertx().cancelTimer(silenceTimer);
                sending.cancel();
            }
        }
    }

    /**
     * Creates a run.
     *
     * @param request the request, whose body is complete at the start of the run
     * @param answer writes the answer
     * @param tables what the gateway knows
     * @param services what runs need
     * @param onEnd is told of this run once, at its end
     */
    public RequestRun(
            CallerRequest request,
            CallerAnswer answer,
            GatewayTables tables,
            RequestServices services,
            Consumer<RequestRun> onEnd) {
        this.request = request;
        this.answer = answer;
        this.tables = tables;
        this.services = services;
        this.onEnd = onEnd;
        this.candidates = new EndpointCandidates(request, tables);
    }

    /** Starts the run once the request has been read. */
    public void start() {
        if (ended) {
            return;
        }
        long leftMs = request.deadlineMs() - tables.nowMs();
        deadlineTimer = services.vertx().setTimer(Math.max(1, leftMs), fired -> expire());
        if (refuseQuarantined()) {
            return;
        }
        if (request.routed().route().stages().isEmpty()) {
            dispatch();
            return;
        }
        // The results are best made where the request will probably run.
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

    private boolean refuseQuarantined() {
        boolean quarantined =
                services.suspects().hasQuarantined() && services.suspects().isQuarantined(request.fingerprint());
        if (quarantined) {
            fail(failureOf(ErrorCode.REQUEST_QUARANTINED, "endpoints were lost while it ran"));
        }
        return quarantined;
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
        ServingService service = request.routed().service();
        Optional<EndpointState> chosen = candidates.choose(nowMs);
        if (chosen.isEmpty()) {
            waitForEndpoint(nowMs);
        } else if (sentBefore && !tables.tryTakeRepeat(service.name())) {
            fail(failureOf(ErrorCode.RETRY_BUDGET_EXHAUSTED, "of " + service.name()));
        } else {
            send(chosen.get(), service, nowMs);
        }
    }

    private void waitForEndpoint(long nowMs) {
        long longestMs = request.routed().route().goalMs() / HELD_SHARE_OF_GOAL;
        if (mayHaveRun || nowMs - dispatchStartedMs >= longestMs) {
            fail(failureOf(
                    ErrorCode.NO_ENDPOINT, "of " + request.routed().service().name()));
            return;
        }
        services.vertx().setTimer(ENDPOINT_CHECK_MS, fired -> dispatch());
    }

    private void send(EndpointState endpoint, ServingService service, long nowMs) {
        String identifier = endpoint.latest().identifier();
        long leftMs = request.deadlineMs() - nowMs;
        if (leftMs <= 0) {
            expire();
            return;
        }
        if (!sentBefore) {
            tables.retryBudget(service.name()).recordFirstAttempt(nowMs);
        }
        if (endpoint.cold(nowMs)) {
            tables.coldShare().recordSend(identifier, service.coldRequestsPerSecond(), nowMs);
        }
        sentBefore = true;
        candidates.markTried(identifier);
        DispatchContext dispatch = new DispatchContext(
                identifier, leftMs, request.routed().workspace().map(workspace -> workspace.name()), stageResults);
        EndpointCall call = new EndpointCall(
                endpoint,
                services.endpoints()
                        .send(
                                endpoint.latest().address(),
                                request.method(),
                                request.uri(),
                                services.dialect().requestHeaders(request.headers(), dispatch),
                                request.body()));
        current = Optional.of(call);
        log("request_sent", "endpoint", identifier, "left_ms", leftMs, "calls", endpoint.expectedCalls(nowMs));
        watchSilence(call);
        call.sending
                .head()
                .onSuccess(response -> takeHead(call, response))
                .onFailure(failure -> callFailed(call, ServingException.of(failure)));
    }

    /** An idempotent request is sent to another endpoint while there is time for that. */
    private void watchSilence(EndpointCall call) {
        ServingRoute route = request.routed().route();
        if (route.kind() != RequestKind.IDEMPOTENT || endpointsThatMayHaveRun + 1 >= route.maximumEndpoints()) {
            return;
        }
        long silenceMs = Math.max(1, Math.round(route.goalMs() * SILENCE_SHARE_OF_GOAL));
        call.silenceTimer = services.vertx()
                .setTimer(
                        silenceMs,
                        fired -> callFailed(
                                call, ServingException.unknown(ErrorCode.PROGRESS_TIMEOUT, "no answer begun")));
    }

    private void callFailed(EndpointCall call, ServingException failure) {
        if (ended || !call.open) {
            return;
        }
        call.close();
        call.endpoint.recordFailure(tables.nowMs());
        suspectAfter(call, failure);
        services.metrics()
                .endpointFailed(
                        request.routed().service().name(), failure.code().label());
        log("send_failed", "endpoint", call.endpoint.latest().identifier(), "failure", failure.getMessage());
        if (failure.outcome() == Outcome.NOT_RUN) {
            dispatch();
        } else {
            repeatOrFail(failure);
        }
    }

    /** A connection that ends without an answer may mean that the request has crashed its endpoint. */
    private void suspectAfter(EndpointCall call, ServingException failure) {
        if (failure.code() == ErrorCode.CONNECTION_LOST || failure.code() == ErrorCode.STREAM_TRUNCATED) {
            services.suspects()
                    .reportConnectionLoss(
                            request.fingerprint(),
                            call.endpoint.latest().identifier(),
                            call.endpoint.latest().address());
        }
    }

    private void repeatOrFail(ServingException failure) {
        ServingRoute route = request.routed().route();
        mayHaveRun = true;
        endpointsThatMayHaveRun++;
        if (route.allowsRetry() && endpointsThatMayHaveRun < route.maximumEndpoints()) {
            dispatch();
        } else {
            fail(failure);
        }
    }

    private void takeHead(EndpointCall call, HttpClientResponse response) {
        if (ended || !call.open) {
            return;
        }
        services.vertx().cancelTimer(call.silenceTimer);
        ResponseHead head = services.dialect().readResponseHead(response.statusCode(), response.headers());
        head.pendingCalls().ifPresent(calls -> call.endpoint.recordLoad(calls, tables.nowMs()));
        if (head.notRun()) {
            refusedByEndpoint(call, head);
        } else if (!answersThisRequest(head) || NOT_RUN_STATUSES.contains(head.status())) {
            callFailed(call, ServingException.unknown(ErrorCode.ANSWER_MISMATCHED, "status " + head.status()));
        } else if (head.status() >= 500 && mayTryAnother()) {
            callFailed(call, ServingException.unknown(ErrorCode.ENDPOINT_FAILED, "status " + head.status()));
        } else if (request.routed().route().kind() == RequestKind.STREAMING && head.status() < 300) {
            new StreamForwarding(call, response).start();
        } else {
            collect(call, response);
        }
    }

    private boolean answersThisRequest(ResponseHead head) {
        boolean sameAttempt = head.attemptId()
                .map(identifier -> identifier.equals(request.attempt().identifier()))
                .orElse(head.status() >= 300);
        return sameAttempt && (head.signed() || head.status() >= 300);
    }

    private boolean mayTryAnother() {
        ServingRoute route = request.routed().route();
        return route.allowsRetry() && endpointsThatMayHaveRun + 1 < route.maximumEndpoints() && candidates.anyUntried();
    }

    private void refusedByEndpoint(EndpointCall call, ResponseHead head) {
        call.close();
        String identifier = call.endpoint.latest().identifier();
        services.metrics().endpointFailed(request.routed().service().name(), "refused-" + head.status());
        log("refused_by_endpoint", "endpoint", identifier, "status", head.status());
        if (head.status() == STATUS_OTHER_ENDPOINT) {
            call.endpoint.recordFailure(tables.nowMs());
        }
        if (head.status() == STATUS_CONFLICT) {
            fail(failureOf(ErrorCode.STAGE_FAILED, "a stage's result is gone"));
        } else {
            dispatch();
        }
    }

    private void collect(EndpointCall call, HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        response.handler(body::appendBuffer);
        response.exceptionHandler(failure -> callFailed(
                call, ServingException.unknown(ErrorCode.CONNECTION_LOST, String.valueOf(failure.getMessage()))));
        response.endHandler(done -> {
            if (ended || !call.open) {
                return;
            }
            answer.whole(
                    response.statusCode(),
                    response.statusMessage(),
                    services.dialect().responseHeaders(response.headers()),
                    body);
            succeeded(call, response.statusCode());
        });
        response.resume();
    }

    private void succeeded(EndpointCall call, int status) {
        if (status < 500) {
            call.endpoint.recordSuccess();
        }
        end("answered", status);
    }

    /** Passes a stream on as it comes. */
    private final class StreamForwarding {
        private final EndpointCall call;
        private final HttpClientResponse response;
        private Optional<HttpServerResponse> forwarded = Optional.empty();

        private StreamForwarding(EndpointCall call, HttpClientResponse response) {
            this.call = call;
            this.response = response;
        }

        private void start() {
            response.handler(this::forward);
            response.exceptionHandler(failure -> broken(String.valueOf(failure.getMessage())));
            response.endHandler(done -> finish());
            response.resume();
        }

        private HttpServerResponse begin() {
            if (forwarded.isEmpty()) {
                forwarded = Optional.of(answer.parts(
                        response.statusCode(),
                        response.statusMessage(),
                        services.dialect().responseHeaders(response.headers())));
                long waitedMs = tables.nowMs() - call.sentMs;
                tables.firstEvents().record(request.routed().route().name(), (double) waitedMs);
                services.metrics().streamBegun(request.routed().route().name(), waitedMs);
                log("stream_begun", "endpoint", call.endpoint.latest().identifier(), "waited_ms", waitedMs);
                stagePhase.ifPresent(StagePhase::end);
            }
            return forwarded.get();
        }

        private void forward(Buffer part) {
            if (ended || !call.open) {
                return;
            }
            HttpServerResponse target = begin();
            target.write(part);
            if (target.writeQueueFull()) {
                response.pause();
                target.drainHandler(drained -> response.resume());
            }
        }

        private void finish() {
            if (!ended && call.open) {
                begin().end();
                succeeded(call, response.statusCode());
            }
        }

        private void broken(String reason) {
            ServingException failure = ServingException.unknown(ErrorCode.STREAM_TRUNCATED, reason);
            if (forwarded.isEmpty()) {
                callFailed(call, failure);
            } else if (!ended && call.open) {
                call.endpoint.recordFailure(tables.nowMs());
                suspectAfter(call, failure);
                answer.abort();
                end(failure.getMessage(), 0);
            }
        }
    }

    private ServingException failureOf(ErrorCode code, String detail) {
        return mayHaveRun ? ServingException.unknown(code, detail) : ServingException.notRun(code, detail);
    }

    /**
     * Refuses the request before it runs.
     *
     * @param failure why
     */
    public void refuse(ServingException failure) {
        fail(failure);
    }

    /** Refuses the request because the gateway ends, unless an endpoint may be running it. */
    public void refuseUnlessSent() {
        if (!mayHaveRun && current.filter(call -> call.open).isEmpty()) {
            fail(ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "shutting down"));
        }
    }

    private void expire() {
        boolean mayRun = mayHaveRun || current.filter(call -> call.open).isPresent();
        fail(new ServingException(
                ErrorCode.DEADLINE_EXCEEDED, mayRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, "no time is left"));
    }

    private void fail(ServingException failure) {
        if (ended) {
            return;
        }
        if (answer.begun()) {
            answer.abort();
            end(failure.getMessage(), 0);
            return;
        }
        boolean notRun = failure.outcome() == Outcome.NOT_RUN && !mayHaveRun;
        ServingException told = failure.withOutcome(notRun ? Outcome.NOT_RUN : Outcome.UNKNOWN);
        end(told.getMessage(), answer.failure(told, told.retryAfterMs().orElse(RETRY_AFTER_MS)));
    }

    /** Ends the run because the caller's connection is closed. */
    public void callerLeft() {
        if (!ended) {
            end("caller-left", 0);
        }
    }

    private void end(String outcome, int status) {
        ended = true;
        services.vertx().cancelTimer(deadlineTimer);
        current.ifPresent(EndpointCall::close);
        stagePhase.ifPresent(StagePhase::end);
        long elapsedMs = tables.nowMs() - request.arrivedMs();
        services.metrics().requestEnded(request.routed().route().name(), status, label(outcome), elapsedMs);
        log("request_ended", "status", status, "outcome", outcome, "elapsed_ms", elapsedMs);
        onEnd.accept(this);
    }

    /** The beginning of an outcome is its code; the rest names what was met. */
    private static String label(String outcome) {
        int colon = outcome.indexOf(':');
        return colon < 0 ? outcome : outcome.substring(0, colon);
    }

    private void log(String event, Object... pairs) {
        Object[] all = new Object[pairs.length + 6];
        all[0] = "request";
        all[1] = request.attempt().identifier();
        all[2] = "route";
        all[3] = request.routed().route().name();
        all[4] = "version";
        all[5] = tables.configuration().map(ServingConfiguration::version).orElse(-1L);
        System.arraycopy(pairs, 0, all, 6, pairs.length);
        Events.info(LOG, event, all);
    }
}
