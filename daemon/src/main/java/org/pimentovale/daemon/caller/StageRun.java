package org.pimentovale.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.endpoint.EndpointConnection;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool.Preference;
import org.pimentovale.daemon.endpoint.StageExchange;
import org.pimentovale.daemon.protocol.StageRequest;
import org.pimentovale.daemon.protocol.StageResult;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.retry.RetryReason;
import org.pimentovale.kernel.schedule.CallResult;
import org.pimentovale.kernel.schedule.Grant;
import org.pimentovale.kernel.schedule.GrantListener;
import org.pimentovale.kernel.schedule.PoolScheduler;
import org.pimentovale.kernel.schedule.StageAttempt;
import org.pimentovale.kernel.schedule.Ticket;
import org.pimentovale.kernel.suspect.SuspectVerdict;
import org.pimentovale.log.Events;
import org.pimentovale.table.Stage;

/**
 * Runs one stage of a request, with retries where they are safe.
 *
 * <p>Invariants: at most one attempt is on its way at any time; every grant is released once; an attempt whose request
 * has ended is not dispatched. Not thread safe; used on the request's event loop.
 */
final class StageRun {
    private static final Logger LOG = Logger.getLogger(StageRun.class);
    private static final int LARGEST_ATTEMPTS = 6;
    private static final int ISOLATION_REPEAT_MS = 50;

    private final PipelineServices services;
    private final ServingTables tables;
    private final EndpointConnectionPool connections;
    private final Context context;
    private final CallerRequest request;
    private final Stage stage;
    private final int position;
    private final Map<String, JsonNode> results;
    private final StageRunOwner owner;
    private final Set<String> excluded = new HashSet<>();
    /** The scheduler that gave or owes the grant; the tables may hold another one by the time of the release. */
    private Optional<PoolScheduler> granting = Optional.empty();

    private Optional<Ticket> ticket = Optional.empty();
    private Optional<Promise<Grant>> awaited = Optional.empty();
    private Optional<StageExchange> exchange = Optional.empty();
    private boolean cancelled;
    private boolean lossSeen;
    private boolean permitted;
    private Optional<ServingException> lastSentFailure = Optional.empty();
    private int attempts;

    StageRun(
            PipelineServices services,
            EndpointConnectionPool connections,
            Context context,
            CallerRequest request,
            int position,
            Map<String, JsonNode> results,
            StageRunOwner owner) {
        this.services = services;
        this.tables = services.tables();
        this.connections = connections;
        this.context = context;
        this.request = request;
        this.stage = request.route().stages().get(position);
        this.position = position;
        this.results = results;
        this.owner = owner;
    }

    /** Runs the stage; the future fails with a {@link ServingException}. */
    Future<StageResult> run() {
        tables.retryBudget(stage.pool()).recordFirstAttempt();
        return attempt(usualPreference());
    }

    /** A call that must not run twice is not risked on a connection that may have gone silent. */
    private Preference usualPreference() {
        return stage.idempotent() ? Preference.ANY : Preference.RECENTLY_USED;
    }

    /** Ends the stage: waiting work is taken back, and a running call is closed. */
    void cancel() {
        cancelled = true;
        ticket.ifPresent(waiting -> granting.ifPresent(scheduler -> scheduler.cancel(waiting)));
        awaited.ifPresent(promise ->
                promise.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "while waiting for an endpoint")));
        exchange.ifPresent(StageExchange::cancel);
    }

    /** Returns the failure of the latest attempt, which says more than a deadline that passed during its repetition. */
    Optional<ServingException> latestFailure() {
        return lastSentFailure;
    }

    /** Stops reading from the endpoint, while the caller does not keep up. */
    void pause() {
        exchange.ifPresent(StageExchange::pause);
    }

    /** Goes on reading from the endpoint, after the caller has caught up. */
    void resume() {
        exchange.ifPresent(StageExchange::resume);
    }

    private Optional<PoolScheduler> scheduler() {
        return tables.scheduler(stage.pool());
    }

    private Future<StageResult> attempt(Preference preference) {
        attempts++;
        return admitSuspect()
                .compose(suspect -> awaitGrant(suspect))
                .compose(grant -> grant.attempt().suspect() ? runAlone(grant, preference) : dispatch(grant, preference))
                .recover(failure -> retryOrFail(ServingException.of(failure)));
    }

    /** Fails where the request must not run again; otherwise tells whether it has to run alone. */
    private Future<Boolean> admitSuspect() {
        SuspectVerdict verdict = tables.suspects().verdict(request.fingerprint());
        if (verdict == SuspectVerdict.CLEAR) {
            return Future.succeededFuture(false);
        }
        ServingException quarantined =
                ServingException.unknown(ErrorCode.REQUEST_QUARANTINED, "endpoints were lost while it ran");
        if (verdict == SuspectVerdict.QUARANTINED) {
            return Future.failedFuture(quarantined);
        }
        lossSeen = true;
        if (permitted) {
            return Future.succeededFuture(true);
        }
        return services.guard().permit(request.fingerprint()).compose(granted -> {
            permitted = granted;
            return granted ? Future.succeededFuture(true) : Future.failedFuture(quarantined);
        });
    }

    private Future<Grant> awaitGrant(boolean suspect) {
        Optional<PoolScheduler> scheduler = scheduler();
        if (scheduler.isEmpty()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.NO_ENDPOINT, "no pool " + stage.pool()));
        }
        if (cancelled) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.CALLER_LEFT, "before the dispatch"));
        }
        Promise<Grant> promise = Promise.promise();
        awaited = Optional.of(promise);
        StageAttempt work = new StageAttempt(
                request.identifier(),
                request.workspace(),
                request.route().urgency(),
                request.deadlineAtMs(),
                tables.laterStagesMs(request.route(), position, request.workspace()),
                request.prefix(),
                Set.copyOf(excluded),
                suspect);
        PoolScheduler source = scheduler.get();
        granting = scheduler;
        ticket = Optional.of(source.submit(work, new GrantListener() {
            @Override
            public void granted(Grant grant) {
                context.runOnContext(run -> {
                    if (!promise.tryComplete(grant)) {
                        source.release(grant, CallResult.abandoned());
                    }
                });
            }

            @Override
            public void refused(ErrorCode code, long retryAfterMs) {
                context.runOnContext(run -> {
                    owner.retryAfter(retryAfterMs);
                    promise.tryFail(ServingException.notRun(code, "pool " + stage.pool()));
                });
            }
        }));
        return promise.future();
    }

    /** Sends a suspect to an endpoint only while no other instance runs a suspect there. */
    private Future<StageResult> runAlone(Grant grant, Preference preference) {
        String address = grant.endpoint().address();
        return services.guard().isolate(address).compose(right -> {
            if (right.isPresent()) {
                return dispatch(grant, preference)
                        .onComplete(ended -> services.guard().endIsolation(address, right.get()));
            }
            granting.ifPresent(scheduler -> scheduler.release(grant, CallResult.abandoned()));
            return services.vertx()
                    .timer(ISOLATION_REPEAT_MS)
                    .compose(fired -> awaitGrant(true))
                    .compose(next -> runAlone(next, preference));
        });
    }

    private Future<StageResult> dispatch(Grant grant, Preference preference) {
        ticket = Optional.empty();
        PoolScheduler scheduler = granting.orElseThrow();
        String address = grant.endpoint().address();
        return connections
                .acquire(address, preference)
                .recover(failure -> {
                    scheduler.release(grant, CallResult.failed(RetryReason.CONNECT_FAILED));
                    excluded.add(address);
                    return Future.failedFuture(failure);
                })
                .compose(connection -> dispatchOn(scheduler, grant, connection));
    }

    private Future<StageResult> dispatchOn(PoolScheduler scheduler, Grant grant, EndpointConnection connection) {
        Optional<ErrorCode> objection = scheduler.revalidate(grant);
        boolean sameIncarnation =
                tables.warmth().incarnation(connection.address()).orElse("").equals(connection.incarnation());
        if (cancelled || objection.isPresent() || !sameIncarnation || !owner.mayDispatch()) {
            connections.release(connection);
            scheduler.release(grant, CallResult.abandoned());
            ErrorCode code = cancelled ? ErrorCode.CALLER_LEFT : objection.orElse(ErrorCode.NO_ENDPOINT);
            return Future.failedFuture(ServingException.notRun(code, "before the dispatch"));
        }
        long dispatchedMs = tables.clock().nowMs();
        StageExchange started = new StageExchange(
                services.vertx(),
                connections,
                connection,
                scheduler.pool(),
                services.protocols().get(scheduler.pool().protocol()),
                stageRequest(scheduler, dispatchedMs),
                owner::delta,
                grant.cold() && scheduler.pool().checksFencing()
                        ? services.fencingTokens().tokenOf(connection.address())
                        : Optional.empty());
        exchange = Optional.of(started);
        owner.dispatching(stage);
        return started.send().transform(result -> {
            exchange = Optional.empty();
            long spentMs = tables.clock().nowMs() - dispatchedMs;
            return result.succeeded()
                    ? answered(scheduler, grant, connection, result.result(), spentMs)
                    : failed(scheduler, grant, connection, ServingException.of(result.cause()), spentMs);
        });
    }

    private StageRequest stageRequest(PoolScheduler scheduler, long nowMs) {
        String attemptIdentifier = request.identifier() + "." + stage.name() + "." + attempts;
        return new StageRequest(
                request.identifier(),
                attemptIdentifier,
                stage.name(),
                scheduler.pool().model(),
                request.body(),
                results,
                stage.idempotent() ? Optional.empty() : request.idempotencyKey(),
                request.traceparent(),
                request.route().urgency().name().toLowerCase(java.util.Locale.ROOT),
                request.deadlineAtMs() - nowMs);
    }

    private Future<StageResult> answered(
            PoolScheduler scheduler, Grant grant, EndpointConnection connection, StageResult result, long spentMs) {
        scheduler.release(grant, CallResult.answered(spentMs));
        services.metrics().recordCompletedAttempt(stage.name(), spentMs);
        note("attempt_answered", grant.endpoint().address(), "spent_ms", spentMs);
        tables.warmth()
                .recordResponse(
                        new EndpointIncarnation(connection.address(), connection.incarnation()),
                        tables.clock().nowMs())
                .ifPresent(services.news()::becameWarm);
        if (lossSeen) {
            tables.suspects().clear(request.fingerprint());
            services.guard().clear(request.fingerprint());
        }
        return Future.succeededFuture(result);
    }

    private Future<StageResult> failed(
            PoolScheduler scheduler,
            Grant grant,
            EndpointConnection connection,
            ServingException failure,
            long spentMs) {
        Optional<RetryReason> reason = RetryReason.of(failure.code());
        scheduler.release(grant, reason.map(CallResult::failed).orElseGet(CallResult::abandoned));
        reason.ifPresent(known -> {
            services.metrics().recordFailedAttempt(stage.pool(), stage.name(), known, spentMs);
            if (!known.mayHaveRun()) {
                owner.notRun(stage);
            }
            if (known != RetryReason.SILENCE) {
                excluded.add(connection.address());
            } else {
                connections.discardIdle(connection.address());
            }
        });
        note("attempt_failed", connection.address(), "code", failure.code().label(), "spent_ms", spentMs);
        boolean connectionEnded = failure.code() == ErrorCode.CONNECTION_LOST;
        Future<Void> investigated = connectionEnded ? investigateLoss(connection) : Future.succeededFuture();
        return investigated.compose(done -> Future.failedFuture(failure));
    }

    private void note(String event, String endpoint, Object... pairs) {
        Object[] all = new Object[pairs.length + 8];
        Object[] common = {
            "request", request.identifier(), "stage", stage.name(), "attempt", attempts, "endpoint", endpoint
        };
        System.arraycopy(common, 0, all, 0, common.length);
        System.arraycopy(pairs, 0, all, common.length, pairs.length);
        services.trace().add(request.identifier(), event, all);
        Events.info(LOG, event, all);
    }

    /** Finds out whether the endpoint was lost or only the connection to it. */
    private Future<Void> investigateLoss(EndpointConnection connection) {
        return connections.probe(connection.address(), Preference.NEW).transform(probed -> {
            boolean alive = probed.succeeded() && probed.result().incarnation().equals(connection.incarnation());
            if (alive) {
                return Future.succeededFuture();
            }
            lossSeen = true;
            String endpoint = connection.address() + "#" + connection.incarnation();
            tables.suspects().recordLoss(request.fingerprint(), endpoint);
            // Neither a retry nor the caller's resend may be faster than the news.
            return services.news().lostWhileRunning(request.fingerprint(), endpoint);
        });
    }

    private Future<StageResult> retryOrFail(ServingException failure) {
        Optional<RetryReason> reason = RetryReason.of(failure.code());
        if (reason.isPresent() && reason.get() != RetryReason.WITHDRAWN) {
            lastSentFailure = Optional.of(failure);
        }
        boolean conclusive = reason.isEmpty()
                || !reason.get().allowsRetry(stage.idempotent())
                || cancelled
                || owner.answerBegun()
                || attempts >= LARGEST_ATTEMPTS
                || tables.clock().nowMs() >= request.deadlineAtMs();
        if (conclusive) {
            // A refusal of the repetition says less than the failure that made it necessary.
            return Future.failedFuture(lastSentFailure.orElse(failure));
        }
        if (reason.get().mayHaveRun() && !tables.retryBudget(stage.pool()).tryTakeRetry()) {
            return Future.failedFuture(
                    ServingException.unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, "after " + failure.getMessage()));
        }
        services.metrics().recordRetry(stage.pool(), reason.get());
        return attempt(reason.get().needsNewConnection() ? Preference.NEW : usualPreference());
    }
}
