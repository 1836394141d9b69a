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
import org.pimentovale.log.Events;
import org.pimentovale.table.Stage;

/**
 * Takes one request through the stages of its route.
 *
 * <p>Invariants: the caller is answered once; the outcome that a failure names is {@code not-run} only while no byte of
 * the non-idempotent stage (or of any stage, where all are idempotent) was sent; a non-idempotent call that was sent is
 * followed to its end, also without its caller, so that its outcome is recorded. Not thread safe; used on the request's
 * event loop.
 */
final class RequestRun implements StageRunOwner {
    private static final Logger LOG = Logger.getLogger(RequestRun.class);
    private static final int LARGEST_RECORDED_ANSWER_BYTES = 512 << 10;

    private final PipelineServices services;
    private final EndpointConnectionPool connections;
    private final Context context;
    private final CallerRequest request;
    private final AnswerWriter writer;
    private final Runnable whenFinished;
    private final Map<String, JsonNode> results = new LinkedHashMap<>();
    private final long startedMs;
    private Optional<StageRun> running = Optional.empty();
    private Dispatched repeatable = Dispatched.NOTHING;
    private Dispatched nonRepeatable = Dispatched.NOTHING;
    private boolean answered;
    private boolean finished;
    private long retryAfterMs;
    private long deadlineTimer = -1;

    /** How much of a kind of work may have reached an endpoint. */
    private enum Dispatched {
        NOTHING(Outcome.NOT_RUN),
        SENT(Outcome.UNKNOWN),
        ANSWERED(Outcome.DONE);

        private final Outcome outcome;

        Dispatched(Outcome outcome) {
            this.outcome = outcome;
        }
    }

    RequestRun(
            PipelineServices services,
            EndpointConnectionPool connections,
            Context context,
            CallerRequest request,
            HttpServerResponse response,
            Runnable whenFinished) {
        this.services = services;
        this.connections = connections;
        this.context = context;
        this.request = request;
        this.whenFinished = whenFinished;
        this.writer = new AnswerWriter(
                services.vertx(), response, request, services.settings().callerStallTimeoutMs(), this::callerLeft);
        this.startedMs = services.tables().clock().nowMs();
        response.closeHandler(closed -> callerLeft());
        response.exceptionHandler(failure -> callerLeft());
    }

    void start() {
        long remainingMs = request.deadlineAtMs() - startedMs;
        deadlineTimer = services.vertx().setTimer(Math.max(1, remainingMs), fired -> deadlinePassed());
        runStage(0);
    }

    private void runStage(int position) {
        if (position == request.route().stages().size()) {
            succeed(200);
            return;
        }
        Stage stage = request.route().stages().get(position);
        StageRun stageRun = new StageRun(services, connections, context, request, position, results, this);
        running = Optional.of(stageRun);
        Future<StageResult> result = stage.idempotent() ? stageRun.run() : runOnce(stageRun);
        result.onSuccess(answer -> {
                    results.put(stage.name(), answer.value());
                    if (answer.status() >= 400) {
                        succeed(answer.status());
                    } else if (!answered) {
                        runStage(position + 1);
                    } else {
                        finish();
                    }
                })
                .onFailure(failure -> fail(ServingException.of(failure)));
    }

    /** Runs the stage that must not run twice, under a claim of its idempotency key. */
    private Future<StageResult> runOnce(StageRun stageRun) {
        String key = request.idempotencyKey().orElseThrow();
        String name = ClaimLedger.claimName(request.workspace(), request.route().kind(), key);
        String attempt =
                request.identifier() + "-" + Long.toHexString(services.random().nextLong());
        return services.ledger()
                .acquire(name, attempt, request.fingerprint(), request.deadlineAtMs())
                .onFailure(failure -> noteClaimFailure(ServingException.of(failure)))
                .compose(held -> {
                    if (held.claim().state() == ClaimState.DONE) {
                        nonRepeatable = Dispatched.ANSWERED;
                        return recorded(held);
                    }
                    return stageRun.run().transform(result -> recordOutcome(held, result.result(), result.cause()));
                });
    }

    private void noteClaimFailure(ServingException failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            nonRepeatable = Dispatched.SENT;
        }
    }

    private static Future<StageResult> recorded(HeldClaim held) {
        return held.claim()
                .body()
                .map(body -> Future.succeededFuture(
                        new StageResult(held.claim().status(), Json.readTree(body.getBytes(StandardCharsets.UTF_8)))))
                .orElseGet(() -> Future.failedFuture(
                        new ServingException(ErrorCode.ANSWER_NOT_KEPT, Outcome.DONE, "claim " + held.name())));
    }

    private Future<StageResult> recordOutcome(HeldClaim held, StageResult result, Throwable failure) {
        if (failure == null) {
            nonRepeatable = Dispatched.ANSWERED;
            byte[] body = Json.write(result.value());
            Optional<String> kept = body.length > LARGEST_RECORDED_ANSWER_BYTES
                    ? Optional.empty()
                    : Optional.of(new String(body, StandardCharsets.UTF_8));
            return services.ledger()
                    .record(held, ClaimState.DONE, result.status(), kept)
                    .map(result);
        }
        ClaimState state = nonRepeatable == Dispatched.NOTHING ? ClaimState.RELEASED : ClaimState.UNKNOWN;
        return services.ledger()
                .record(held, state, 0, Optional.empty())
                .compose(recorded -> Future.failedFuture(failure));
    }

    private void succeed(int status) {
        if (!answered) {
            answered = true;
            writer.complete(status, results);
            services.metrics().recordCompletedRequest(request.route().kind());
            log("request_answered", "status", status);
        }
        finish();
    }

    private void fail(ServingException failure) {
        answerFailure(failure);
        finish();
    }

    private void answerFailure(ServingException failure) {
        if (answered) {
            return;
        }
        answered = true;
        ServingException told = failure.withOutcome(outcome());
        services.metrics().recordRefusal(told.code(), told.outcome());
        writer.fail(told, told.code().status() == 503 ? Math.max(retryAfterMs, 1_000) : 0);
        log(
                "request_failed",
                "code",
                told.code().label(),
                "outcome",
                told.outcome().label());
    }

    private Outcome outcome() {
        return request.route().nonIdempotentStage().isPresent() ? nonRepeatable.outcome : repeatableOutcome();
    }

    /** Work of which only a part was answered is not the request's whole work. */
    private Outcome repeatableOutcome() {
        return repeatable == Dispatched.NOTHING ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    private void deadlinePassed() {
        deadlineTimer = -1;
        answerFailure(running.flatMap(StageRun::latestFailure)
                .orElseGet(() -> ServingException.unknown(ErrorCode.DEADLINE_EXCEEDED, "while running")));
        abandonWork();
    }

    private void callerLeft() {
        if (answered) {
            return;
        }
        answered = true;
        writer.abandon();
        services.metrics().recordRefusal(ErrorCode.CALLER_LEFT, outcome());
        log("caller_left", "outcome", outcome().label());
        abandonWork();
    }

    private void abandonWork() {
        boolean mustBeFollowed = nonRepeatable == Dispatched.SENT;
        if (!mustBeFollowed) {
            running.ifPresent(StageRun::cancel);
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
        whenFinished.run();
    }

    private void log(String event, Object... pairs) {
        Object[] all = new Object[pairs.length + 8];
        Object[] common = {
            "request",
            request.identifier(),
            "kind",
            request.route().kind(),
            "workspace",
            request.workspace(),
            "elapsed_ms",
            services.tables().clock().nowMs() - startedMs
        };
        System.arraycopy(common, 0, all, 0, common.length);
        System.arraycopy(pairs, 0, all, common.length, pairs.length);
        Events.info(LOG, event, all);
        services.trace().add(request.identifier(), event, all);
    }

    @Override
    public void delta(String text) {
        boolean lastStage = results.size() == request.route().stages().size() - 1;
        if (!lastStage || answered) {
            return;
        }
        writer.delta(text);
        if (writer.full()) {
            running.ifPresent(StageRun::pause);
            writer.whenDrained(() -> running.ifPresent(StageRun::resume));
        }
    }

    @Override
    public boolean mayDispatch() {
        return !answered;
    }

    @Override
    public void dispatching(Stage stage) {
        if (stage.idempotent()) {
            repeatable = Dispatched.SENT;
        } else {
            nonRepeatable = Dispatched.SENT;
        }
    }

    @Override
    public void notRun(Stage stage) {
        if (!stage.idempotent()) {
            nonRepeatable = Dispatched.NOTHING;
        }
    }

    @Override
    public boolean answerBegun() {
        return writer.begun();
    }

    @Override
    public void retryAfter(long milliseconds) {
        retryAfterMs = milliseconds;
    }
}
