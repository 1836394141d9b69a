package org.pimentovale.gateway.caller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.hedge.HedgeDenial;
import org.pimentovale.kernel.hedge.HedgeSituation;
import org.pimentovale.kernel.hedge.ResponseDurations;
import org.pimentovale.kernel.hedge.SharedHedging;

/**
 * The second copy (the hedge) of one request: sends it if the response is slower than usual and the policy allows it,
 * and records what became of it.
 *
 * <p>Invariants: a request has at most one hedge, sent while exactly one other attempt is running; a request that may
 * run only once has none. Not thread safe; used on one event loop.
 */
final class RequestHedge {
    private static final String SENT = "sent";
    private static final String WON = "won";
    private static final String FAILED = "failed";
    private static final String CANCELLED = "cancelled";

    private final CallerRequest request;
    private final GatewayTables tables;
    private final RequestServices services;
    private final EndpointCandidates candidates;
    private final RequestAttempts attempts;
    private final SendHistory history;
    private final RequestLog log;
    private final Function<EndpointState, EndpointCall> sender;
    private final SharedHedging policy;
    private Optional<EndpointCall> watched = Optional.empty();
    private Optional<EndpointCall> hedge = Optional.empty();
    private Optional<EndpointCall> awaitingPermit = Optional.empty();
    private OptionalLong usualMs = OptionalLong.empty();
    private boolean paceRecorded;
    private boolean hedgeEnded;

    RequestHedge(
            CallerRequest request,
            GatewayTables tables,
            RequestServices services,
            EndpointCandidates candidates,
            RequestAttempts attempts,
            SendHistory history,
            RequestLog log,
            Function<EndpointState, EndpointCall> sender) {
        this.request = request;
        this.tables = tables;
        this.services = services;
        this.candidates = candidates;
        this.attempts = attempts;
        this.history = history;
        this.log = log;
        this.sender = sender;
        this.policy = services.hedges().hedging();
    }

    /** Watches an attempt that was just sent, while no other is running, and hedges it if it is slow. */
    void watch(EndpointCall call) {
        if (!policy.enabled()) {
            return;
        }
        if (watched.isEmpty()) {
            services.hedges().recordRequest(service());
        }
        watched = Optional.of(call);
        if (!repeatable() || hedge.isPresent()) {
            return;
        }
        paceRecorded = false;
        usualMs = policy.delayMs(
                service(), route(), request.workSize(), services.hedges().now());
        if (usualMs.isPresent()) {
            call.startHedgeTimer(Math.max(1, usualMs.getAsLong()), () -> handleSlow(call));
        } else {
            services.metrics().recordHedge(service(), HedgeDenial.FEW_RESPONSES.label());
        }
    }

    private void handleSlow(EndpointCall call) {
        recordPace(true);
        decide(call, true);
    }

    /** Sends the second copy, or asks for a permit first if that may be done and only a permit is missing. */
    private void decide(EndpointCall call, boolean mayAsk) {
        long nowMs = tables.nowMs();
        Optional<EndpointState> target = candidates.chooseForHedge(call.endpoint(), nowMs);
        Optional<HedgeDenial> denial = policy.deny(
                service(),
                situation(target.isPresent(), nowMs),
                services.hedges().now());
        if (mayAsk && denial.equals(Optional.of(HedgeDenial.QUOTA))) {
            awaitPermit(call);
            return;
        }
        if (denial.isEmpty() && !tables.tryTakeRetry(service())) {
            denial = Optional.of(HedgeDenial.RETRY_BUDGET);
        }
        if (denial.isPresent()) {
            services.metrics().recordHedge(service(), denial.get().label());
            log.info(
                    "hedge_denied",
                    "reason",
                    denial.get().label(),
                    "delay_ms",
                    usualMs.orElse(0),
                    "budget_left",
                    tables.retryBudgetLeft(service()));
        } else {
            send(call, target.get());
        }
    }

    private void awaitPermit(EndpointCall call) {
        awaitingPermit = Optional.of(call);
        services.hedges().askPermit(service()).onSuccess(answered -> {
            if (awaitingPermit.filter(waiting -> waiting == call).isPresent()) {
                awaitingPermit = Optional.empty();
                decide(call, false);
            }
        });
    }

    private HedgeSituation situation(boolean endpointFound, long nowMs) {
        return new HedgeSituation(
                request.deadlineMs() - nowMs,
                usualMs.orElse(0),
                history.allowsAnotherBeside(attempts.runningCount()),
                services.shutdown().begun(),
                services.suspects().isSuspected(request::lostRequest),
                candidates.occupiedShare(nowMs),
                endpointFound,
                tables.retryBudgetLeft(service()));
    }

    private void send(EndpointCall slow, EndpointState target) {
        services.metrics().recordHedge(service(), SENT);
        log.info(
                "hedge_sent",
                "endpoint",
                target.latest().identifier(),
                "beside",
                slow.endpoint().latest().identifier(),
                "quantile",
                ResponseDurations.QUANTILE,
                "delay_ms",
                usualMs.orElse(0),
                "budget_left",
                tables.retryBudgetLeft(service()));
        hedge = Optional.of(sender.apply(target));
    }

    /** Records that the response of an attempt is the one that the caller gets, before other attempts are cancelled. */
    void responseWon(EndpointCall winner, int status) {
        winner.cancelHedgeTimer();
        awaitingPermit = Optional.empty();
        if (!policy.enabled()) {
            return;
        }
        boolean hedgeWon = isHedge(winner);
        if (status < 300 && repeatable()) {
            watched.filter(EndpointCall::open).ifPresent(this::recordDuration);
        }
        if (!hedgeWon) {
            recordPace(false);
        }
        endHedge(hedgeWon ? WON : CANCELLED, hedgeWon ? "hedge" : "first");
    }

    private void recordDuration(EndpointCall first) {
        long durationMs = tables.nowMs() - first.sentMs();
        services.hedges().recordDuration(service(), route(), request.workSize(), durationMs);
    }

    private void recordPace(boolean slow) {
        if (usualMs.isPresent() && !paceRecorded) {
            paceRecorded = true;
            policy.recordPace(service(), slow);
        }
    }

    /** Records that an attempt ended without a response for the caller. */
    void attemptLost(EndpointCall call) {
        awaitingPermit = awaitingPermit.filter(waiting -> waiting != call);
        if (isHedge(call)) {
            endHedge(FAILED, "none");
        }
    }

    /** Records that the request has ended, and with it a hedge that is still running. */
    void requestEnded() {
        awaitingPermit = Optional.empty();
        endHedge(CANCELLED, "none");
    }

    private boolean isHedge(EndpointCall call) {
        return hedge.filter(copy -> copy == call).isPresent();
    }

    private void endHedge(String outcome, String winner) {
        if (hedge.isEmpty() || hedgeEnded) {
            return;
        }
        hedgeEnded = true;
        services.metrics().recordHedge(service(), outcome);
        log.info(
                "hedge_ended",
                "outcome",
                outcome,
                "winner",
                winner,
                "quantile",
                ResponseDurations.QUANTILE,
                "delay_ms",
                usualMs.orElse(0),
                "elapsed_ms",
                tables.nowMs() - hedge.get().sentMs(),
                "budget_left",
                tables.retryBudgetLeft(service()));
    }

    private boolean repeatable() {
        return request.routed().route().allowsRetry();
    }

    private String route() {
        return request.routed().route().name();
    }

    private String service() {
        return candidates.service().name();
    }
}
