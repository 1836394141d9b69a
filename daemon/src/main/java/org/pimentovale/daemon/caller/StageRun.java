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
 * Runs one stage of a request, with retries if they are safe.
 *
 * <p>Invariants: at most one attempt is in progress at any time; every grant is released once; an attempt whose request
 * has ended is not dispatched. Not thread safe; used on the request's event loop.
 */
final class StageRun {
    private static final Logger LOG = Logger.getLogger(StageRun.class);
    private static final int MAX_ATTEMPTS = 6;
    private static final int RESERVATION_RETRY_DELAY_MS = 50;

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
    /**
     * The scheduler to which the attempt was submitted. The tables may contain another one when the grant is released.
     */
    private Optional<PoolScheduler> grantingScheduler = Optional.empty();

    private Optional<Ticket> ticket = Optional.empty();
    private Optional<Promise<Grant>> pendingGrant = Optional.empty();
    private Optional<StageExchange> exchange = Optional.empty();
    private boolean cancelled;
    private boolean lossObserved;
    private boolean hasPermit;
    private Optional<ServingException> lastAttemptFailure = Optional.empty();
    private int attemptCount;

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

    /** Runs the stage. The future fails with a {@link ServingException}. */
    Future<StageResult> run() {
        tables.retryBudget(stage.pool()).recordFirstAttempt();
        return attempt(defaultPreference());
    }

    /**
     * Non-idempotent calls use only recently used or new connections, since a call that fails on a stale connection
     * may not be safe to retry.
     */
    private Preference defaultPreference() {
        return stage.idempotent() ? Preference.ANY : Preference.RECENTLY_USED;
    }

    /**
     * Cancels the stage: a queued attempt is removed from the queue, and the connection of a running call is closed.
     */
    void cancel() {
        cancelled = true;
        ticket.ifPresent(queuedTicket -> grantingScheduler.ifPresent(scheduler -> scheduler.cancel(queuedTicket)));
        pendingGrant.ifPresent(promise ->
                promise.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "while waiting for an endpoint")));
        exchange.ifPresent(StageExchange::cancel);
    }

    /**
     * Returns the failure of the latest attempt, which is more informative than a deadline exceeded during its retry.
     */
    Optional<ServingException> lastAttemptFailure() {
        return lastAttemptFailure;
    }

    /** Pauses reading from the endpoint while the write queue to the caller is full. */
    void pause() {
        exchange.ifPresent(StageExchange::pause);
    }

    /** Resumes reading from the endpoint after the write queue to the caller has drained. */
    void resume() {
        exchange.ifPresent(StageExchange::resume);
    }

    private Optional<PoolScheduler> scheduler() {
        return tables.scheduler(stage.pool());
    }

    private Future<StageResult> attempt(Preference preference) {
        attemptCount++;
        return checkSuspicion()
                .compose(suspect -> awaitGrant(suspect))
                .compose(grant -> grant.attempt().suspect()
                        ? dispatchExclusively(grant, preference)
                        : dispatch(grant, preference))
                .recover(failure -> retryOrFail(ServingException.of(failure)));
    }

    /**
     * Fails if the request is quarantined; otherwise tells whether it is a suspect, which runs alone on its endpoint.
     */
    private Future<Boolean> checkSuspicion() {
        SuspectVerdict verdict = tables.suspects().verdict(request.fingerprint());
        if (verdict == SuspectVerdict.CLEAR) {
            return Future.succeededFuture(false);
        }
        ServingException quarantined =
                ServingException.unknown(ErrorCode.REQUEST_QUARANTINED, "endpoints were lost while it ran");
        if (verdict == SuspectVerdict.QUARANTINED) {
            return Future.failedFuture(quarantined);
        }
        lossObserved = true;
        if (hasPermit) {
            return Future.succeededFuture(true);
        }
        return services.suspectPermits().acquirePermit(request.fingerprint()).compose(acquired -> {
            hasPermit = acquired;
            return acquired ? Future.succeededFuture(true) : Future.failedFuture(quarantined);
        });
    }

    private Future<Grant> awaitGrant(boolean suspect) {
        Optional<PoolScheduler> scheduler = scheduler();
        if (scheduler.isEmpty()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.NO_ENDPOINT, "no pool " + stage.pool()));
        }
        if (cancelled) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.CALLER_LEFT, "before dispatch"));
        }
        Promise<Grant> promise = Promise.promise();
        pendingGrant = Optional.of(promise);
        StageAttempt stageAttempt = new StageAttempt(
                request.identifier(),
                request.workspace(),
                request.route().urgency(),
                request.deadlineAtMs(),
                tables.laterStagesMs(request.route(), position, request.workspace()),
                request.prefixHash(),
                Set.copyOf(excluded),
                suspect);
        PoolScheduler submittedTo = scheduler.get();
        grantingScheduler = scheduler;
        ticket = Optional.of(submittedTo.submit(stageAttempt, new GrantListener() {
            @Override
            public void granted(Grant grant) {
                context.runOnContext(run -> {
                    if (!promise.tryComplete(grant)) {
                        submittedTo.release(grant, CallResult.abandoned());
                    }
                });
            }

            @Override
            public void refused(ErrorCode code, long retryAfterMs) {
                context.runOnContext(run -> {
                    owner.setRetryAfterMs(retryAfterMs);
                    promise.tryFail(ServingException.notRun(code, "pool " + stage.pool()));
                });
            }
        }));
        return promise.future();
    }

    /** Dispatches a suspect request to an endpoint on which no instance runs another suspect. */
    private Future<StageResult> dispatchExclusively(Grant grant, Preference preference) {
        String address = grant.endpoint().address();
        return services.suspectPermits().reserveEndpoint(address).compose(reservation -> {
            if (reservation.isPresent()) {
                return dispatch(grant, preference)
                        .onComplete(ended -> services.suspectPermits().releaseEndpoint(address, reservation.get()));
            }
            grantingScheduler.ifPresent(scheduler -> scheduler.release(grant, CallResult.abandoned()));
            return services.vertx()
                    .timer(RESERVATION_RETRY_DELAY_MS)
                    .compose(fired -> awaitGrant(true))
                    .compose(nextGrant -> dispatchExclusively(nextGrant, preference));
        });
    }

    private Future<StageResult> dispatch(Grant grant, Preference preference) {
        ticket = Optional.empty();
        PoolScheduler scheduler = grantingScheduler.orElseThrow();
        String address = grant.endpoint().address();
        return connections
                .acquire(address, preference)
                .recover(failure -> {
                    scheduler.release(grant, CallResult.failed(RetryReason.CONNECT_FAILED));
                    excluded.add(address);
                    return Future.failedFuture(failure);
                })
                .compose(connection -> dispatchOnConnection(scheduler, grant, connection));
    }

    private Future<StageResult> dispatchOnConnection(
            PoolScheduler scheduler, Grant grant, EndpointConnection connection) {
        Optional<ErrorCode> rejection = scheduler.revalidate(grant);
        boolean sameIncarnation =
                tables.warmth().incarnation(connection.address()).orElse("").equals(connection.incarnation());
        if (cancelled || rejection.isPresent() || !sameIncarnation || !owner.mayDispatch()) {
            connections.release(connection);
            scheduler.release(grant, CallResult.abandoned());
            ErrorCode code = cancelled ? ErrorCode.CALLER_LEFT : rejection.orElse(ErrorCode.NO_ENDPOINT);
            return Future.failedFuture(ServingException.notRun(code, "before dispatch"));
        }
        long dispatchedMs = tables.clock().nowMs();
        StageExchange newExchange = new StageExchange(
                services.vertx(),
                connections,
                connection,
                scheduler.pool(),
                services.protocols().get(scheduler.pool().protocol()),
                stageRequest(scheduler, dispatchedMs),
                owner::writeDelta,
                grant.cold() && scheduler.pool().checksFencing()
                        ? services.fencingTokens().tokenOf(connection.address())
                        : Optional.empty());
        exchange = Optional.of(newExchange);
        owner.recordDispatch(stage);
        Future<StageResult> sent =
                newExchange.send(() -> scheduler.revalidate(grant), () -> scheduler.recordSent(grant));
        return sent.transform(result -> {
            exchange = Optional.empty();
            long elapsedMs = tables.clock().nowMs() - dispatchedMs;
            return result.succeeded()
                    ? handleResult(scheduler, grant, connection, result.result(), elapsedMs)
                    : handleFailure(scheduler, grant, connection, ServingException.of(result.cause()), elapsedMs);
        });
    }

    private StageRequest stageRequest(PoolScheduler scheduler, long nowMs) {
        String attemptIdentifier = request.identifier() + "." + stage.name() + "." + attemptCount;
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

    private Future<StageResult> handleResult(
            PoolScheduler scheduler, Grant grant, EndpointConnection connection, StageResult result, long elapsedMs) {
        scheduler.release(grant, CallResult.completed(elapsedMs));
        services.metrics().recordCompletedAttempt(stage.name(), elapsedMs);
        logEvent("attempt_answered", grant.endpoint().address(), "spent_ms", elapsedMs);
        tables.warmth()
                .recordResponse(
                        new EndpointIncarnation(connection.address(), connection.incarnation()),
                        tables.clock().nowMs())
                .ifPresent(services.endpointNotifier()::notifyWarm);
        if (lossObserved) {
            tables.suspects().clear(request.fingerprint());
            services.suspectPermits().releasePermit(request.fingerprint());
        }
        return Future.succeededFuture(result);
    }

    private Future<StageResult> handleFailure(
            PoolScheduler scheduler,
            Grant grant,
            EndpointConnection connection,
            ServingException failure,
            long elapsedMs) {
        Optional<RetryReason> reason = RetryReason.of(failure.code());
        scheduler.release(grant, reason.map(CallResult::failed).orElseGet(CallResult::abandoned));
        reason.ifPresent(retryReason -> {
            services.metrics().recordFailedAttempt(stage.pool(), stage.name(), retryReason, elapsedMs);
            if (!retryReason.mayHaveRun()) {
                owner.recordNotRun(stage);
            }
            if (retryReason != RetryReason.SILENCE) {
                excluded.add(connection.address());
            } else {
                connections.discardIdle(connection.address());
            }
        });
        logEvent("attempt_failed", connection.address(), "code", failure.code().label(), "spent_ms", elapsedMs);
        boolean connectionLost = failure.code() == ErrorCode.CONNECTION_LOST;
        Future<Void> lossCheck = connectionLost ? checkEndpointLoss(connection) : Future.succeededFuture();
        return lossCheck.compose(done -> Future.failedFuture(failure));
    }

    private void logEvent(String event, String endpoint, Object... pairs) {
        Object[] allPairs = new Object[pairs.length + 8];
        Object[] commonPairs = {
            "request", request.identifier(), "stage", stage.name(), "attempt", attemptCount, "endpoint", endpoint
        };
        System.arraycopy(commonPairs, 0, allPairs, 0, commonPairs.length);
        System.arraycopy(pairs, 0, allPairs, commonPairs.length, pairs.length);
        services.trace().add(request.identifier(), event, allPairs);
        Events.info(LOG, event, allPairs);
    }

    /** Probes the endpoint on a new connection to determine whether the endpoint was lost or only the connection. */
    private Future<Void> checkEndpointLoss(EndpointConnection connection) {
        return connections.probe(connection.address(), Preference.NEW).transform(probe -> {
            boolean alive = probe.succeeded() && probe.result().incarnation().equals(connection.incarnation());
            if (alive) {
                return Future.succeededFuture();
            }
            lossObserved = true;
            String endpoint = connection.address() + "#" + connection.incarnation();
            tables.suspects().recordLoss(request.fingerprint(), endpoint);
            // Other instances must know of the loss before a retry or the caller's resend of the request can reach
            // them.
            return services.endpointNotifier().notifyLoss(request.fingerprint(), endpoint);
        });
    }

    private Future<StageResult> retryOrFail(ServingException failure) {
        Optional<RetryReason> reason = RetryReason.of(failure.code());
        if (reason.isPresent() && reason.get() != RetryReason.WITHDRAWN) {
            lastAttemptFailure = Optional.of(failure);
        }
        boolean isFinal = reason.isEmpty()
                || !reason.get().allowsRetry(stage.idempotent())
                || cancelled
                || owner.responseStarted()
                || attemptCount >= MAX_ATTEMPTS
                || tables.clock().nowMs() >= request.deadlineAtMs();
        if (isFinal) {
            // The failure that caused a retry is more informative than a refusal of that retry.
            return Future.failedFuture(lastAttemptFailure.orElse(failure));
        }
        if (reason.get().mayHaveRun() && !tables.retryBudget(stage.pool()).tryTakeRetry()) {
            return Future.failedFuture(
                    ServingException.unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, "after " + failure.getMessage()));
        }
        services.metrics().recordRetry(stage.pool(), reason.get());
        return attempt(reason.get().needsNewConnection() ? Preference.NEW : defaultPreference());
    }
}
