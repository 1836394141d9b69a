package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.claim.ClaimLedger;
import org.pimentovale.daemon.claim.HeldClaim;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool;
import org.pimentovale.daemon.protocol.StageResult;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.claim.ClaimState;
import org.pimentovale.kernel.claim.IdempotencyKey;
import org.pimentovale.log.Events;
import org.pimentovale.table.Stage;

/**
 * Runs one request through the stages of its route.
 *
 * <p>Invariants: the caller gets exactly one response; a failure reports the outcome {@code not-run} only if no byte of
 * the non-idempotent stage (or of any stage, if all are idempotent) was sent; a non-idempotent call that was sent is
 * awaited to its end, even after its caller has disconnected, so that its outcome is recorded. Not thread safe; used on
 * the request's event loop.
 */
final class RequestRun implements StageRunOwner {
    private static final Logger LOG = Logger.getLogger(RequestRun.class);
    private static final int MAX_RECORDED_RESULT_BYTES = 512 << 10;

    private final PipelineServices services;
    private final EndpointConnectionPool connections;
    private final Context context;
    private final CallerRequest request;
    private final ResponseWriter writer;
    private final Runnable onFinished;
    private final Map<String, JsonNode> results = new LinkedHashMap<>();
    private final long startedMs;
    private Optional<StageRun> currentStage = Optional.empty();
    private Optional<HeldClaim> heldClaim = Optional.empty();
    private DispatchState idempotentState = DispatchState.NOT_SENT;
    private DispatchState nonIdempotentState = DispatchState.NOT_SENT;
    private boolean responded;
    private boolean finished;
    private long retryAfterMs;
    private long deadlineTimer = -1;

    /** Progress of the idempotent or of the non-idempotent stages, with the outcome to report. */
    private enum DispatchState {
        NOT_SENT(Outcome.NOT_RUN),
        SENT(Outcome.UNKNOWN),
        COMPLETED(Outcome.DONE);

        private final Outcome outcome;

        DispatchState(Outcome outcome) {
            this.outcome = outcome;
        }
    }

    RequestRun(
            PipelineServices services,
            EndpointConnectionPool connections,
            Context context,
            CallerRequest request,
            HttpServerResponse response,
            Runnable onFinished) {
        this.services = services;
        this.connections = connections;
        this.context = context;
        this.request = request;
        this.onFinished = onFinished;
        this.writer = new ResponseWriter(
                services.vertx(),
                response,
                request,
                services.settings().callerStallTimeoutMs(),
                this::handleCallerDisconnect);
        this.startedMs = services.tables().clock().nowMs();
        response.closeHandler(closed -> handleCallerDisconnect());
        response.exceptionHandler(failure -> handleCallerDisconnect());
    }

    void start() {
        long remainingMs = request.deadlineAtMs() - startedMs;
        deadlineTimer = services.vertx().setTimer(Math.max(1, remainingMs), fired -> handleDeadline());
        runStage(0);
    }

    private void runStage(int position) {
        if (position == request.route().stages().size()) {
            succeed(200);
            return;
        }
        Stage stage = request.route().stages().get(position);
        StageRun stageRun = new StageRun(services, connections, context, request, position, results, this);
        currentStage = Optional.of(stageRun);
        Future<StageResult> result = stage.idempotent() ? stageRun.run() : runUnderClaim(stageRun);
        result.onSuccess(stageResult -> {
                    results.put(stage.name(), stageResult.value());
                    if (stageResult.status() >= 400) {
                        succeed(stageResult.status());
                    } else if (!responded) {
                        runStage(position + 1);
                    } else {
                        finish();
                    }
                })
                .onFailure(failure -> fail(ServingException.of(failure)));
    }

    /** Runs the non-idempotent stage under a claim of its idempotency key, so that it runs at most once. */
    private Future<StageResult> runUnderClaim(StageRun stageRun) {
        String key = request.idempotencyKey().orElseThrow();
        String name = ClaimLedger.claimName(request.workspace(), request.route().kind(), key);
        String attempt =
                request.identifier() + "-" + Long.toHexString(services.random().nextLong());
        return services.claimLedger()
                .acquire(
                        name,
                        attempt,
                        request.fingerprint(),
                        new IdempotencyKey(key).createdAtMs(),
                        request.deadlineAtMs())
                .onFailure(failure -> handleClaimFailure(ServingException.of(failure)))
                .compose(held -> {
                    if (held.claim().state() == ClaimState.DONE) {
                        nonIdempotentState = DispatchState.COMPLETED;
                        return recordedResult(held);
                    }
                    heldClaim = Optional.of(held);
                    return stageRun.run().transform(result -> {
                        heldClaim = Optional.empty();
                        return recordOutcome(held, result.result(), result.cause());
                    });
                });
    }

    private void handleClaimFailure(ServingException failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            nonIdempotentState = DispatchState.SENT;
        }
        failure.retryAfterMs().ifPresent(this::setRetryAfterMs);
    }

    private static Future<StageResult> recordedResult(HeldClaim held) {
        return held.claim()
                .body()
                .map(body -> Future.succeededFuture(
                        new StageResult(held.claim().status(), Json.readTree(body.getBytes(StandardCharsets.UTF_8)))))
                .orElseGet(() -> Future.failedFuture(new ServingException(
                        ErrorCode.ANSWER_NOT_KEPT, Outcome.DONE, "response not stored with claim " + held.name())));
    }

    private Future<StageResult> recordOutcome(HeldClaim held, StageResult result, Throwable failure) {
        if (failure == null) {
            nonIdempotentState = DispatchState.COMPLETED;
            byte[] body = Json.write(result.value());
            Optional<String> recordedBody = body.length > MAX_RECORDED_RESULT_BYTES
                    ? Optional.empty()
                    : Optional.of(new String(body, StandardCharsets.UTF_8));
            return services.claimLedger()
                    .record(held, ClaimState.DONE, result.status(), recordedBody)
                    .map(result);
        }
        ClaimState state = nonIdempotentState == DispatchState.NOT_SENT ? ClaimState.RELEASED : ClaimState.UNKNOWN;
        return services.claimLedger()
                .record(held, state, 0, Optional.empty())
                .compose(recorded -> Future.failedFuture(failure));
    }

    private void succeed(int status) {
        if (!responded) {
            responded = true;
            writer.complete(status, results);
            services.metrics().recordCompletedRequest(request.route().kind());
            log("request_answered", "status", status);
        }
        finish();
    }

    private void fail(ServingException failure) {
        respondWithFailure(failure);
        finish();
    }

    private void respondWithFailure(ServingException failure) {
        if (responded) {
            return;
        }
        responded = true;
        ServingException reported = failure.withOutcome(outcome());
        services.metrics().recordRefusal(reported.code(), reported.outcome());
        writer.fail(reported, reported.code().status() == 503 ? Math.max(retryAfterMs, 1_000) : 0);
        log(
                "request_failed",
                "code",
                reported.code().label(),
                "outcome",
                reported.outcome().label());
    }

    private Outcome outcome() {
        return request.route().nonIdempotentStage().isPresent() ? nonIdempotentState.outcome : idempotentOutcome();
    }

    /** A response of some stages does not mean that all stages ran, so the outcome is never {@code done}. */
    private Outcome idempotentOutcome() {
        return idempotentState == DispatchState.NOT_SENT ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    private void handleDeadline() {
        deadlineTimer = -1;
        respondWithFailure(currentStage
                .flatMap(StageRun::lastAttemptFailure)
                .orElseGet(() -> ServingException.unknown(ErrorCode.DEADLINE_EXCEEDED, "while running")));
        abandonWork();
    }

    private void handleCallerDisconnect() {
        if (responded) {
            return;
        }
        responded = true;
        writer.abandon();
        services.metrics().recordRefusal(ErrorCode.CALLER_LEFT, outcome());
        log("caller_left", "outcome", outcome().label());
        abandonWork();
    }

    private void abandonWork() {
        boolean outcomeRequired = nonIdempotentState == DispatchState.SENT;
        if (!outcomeRequired) {
            currentStage.ifPresent(StageRun::cancel);
        }
    }

    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        if (deadlineTimer >= 0) {
            services.vertx().cancelTimer(deadlineTimer);
        }
        onFinished.run();
    }

    private void log(String event, Object... pairs) {
        Object[] allPairs = new Object[pairs.length + 8];
        Object[] commonPairs = {
            "request",
            request.identifier(),
            "kind",
            request.route().kind(),
            "workspace",
            request.workspace(),
            "elapsed_ms",
            services.tables().clock().nowMs() - startedMs
        };
        System.arraycopy(commonPairs, 0, allPairs, 0, commonPairs.length);
        System.arraycopy(pairs, 0, allPairs, commonPairs.length, pairs.length);
        Events.info(LOG, event, allPairs);
        services.trace().add(request.identifier(), event, allPairs);
    }

    @Override
    public void writeDelta(String text) {
        boolean lastStage = results.size() == request.route().stages().size() - 1;
        if (!lastStage || responded) {
            return;
        }
        writer.writeDelta(text);
        if (writer.writeQueueFull()) {
            currentStage.ifPresent(StageRun::pause);
            writer.onDrained(() -> currentStage.ifPresent(StageRun::resume));
        }
    }

    @Override
    public boolean mayDispatch() {
        return !responded && heldClaim.map(services.claimLedger()::holds).orElse(true);
    }

    @Override
    public void recordDispatch(Stage stage) {
        if (stage.idempotent()) {
            idempotentState = DispatchState.SENT;
        } else {
            nonIdempotentState = DispatchState.SENT;
        }
    }

    @Override
    public void recordNotRun(Stage stage) {
        if (!stage.idempotent()) {
            nonIdempotentState = DispatchState.NOT_SENT;
        }
    }

    @Override
    public boolean responseStarted() {
        return writer.started();
    }

    @Override
    public void setRetryAfterMs(long milliseconds) {
        retryAfterMs = milliseconds;
    }
}
