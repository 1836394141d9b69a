package org.pimentovale.gateway.caller;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.shutdown.ShutdownAdmission;
import org.pimentovale.kernel.shutdown.StartDecision;

/**
 * Refuses one request that would not end before its gateway does.
 *
 * <p>Not thread safe; used on one event loop.
 */
final class ShutdownGate {
    private final CallerRequest request;
    private final GatewayTables tables;
    private final ShutdownAdmission admission;
    private final RequestLog log;

    ShutdownGate(CallerRequest request, GatewayTables tables, ShutdownAdmission admission, RequestLog log) {
        this.request = request;
        this.tables = tables;
        this.admission = admission;
        this.log = log;
    }

    /** Returns the failure if the request must not start, empty if it may. */
    Optional<ServingException> checkRequest() {
        long nowMs = tables.nowMs();
        return check("request", admission.decideRequest(route(), request.deadlineMs(), nowMs), nowMs);
    }

    /** Returns the failure if the request must not be sent after stages of the given duration, empty if it may. */
    Optional<ServingException> checkResponse(long stagesMs) {
        long nowMs = tables.nowMs();
        return check("response", admission.decideResponse(route(), stagesMs, request.deadlineMs(), nowMs), nowMs);
    }

    /** Tells whether the request may be sent to another endpoint instead of the present one. */
    boolean allowsAnotherCall() {
        return admission
                .decideResponse(route(), 0, request.deadlineMs(), tables.nowMs())
                .allowed();
    }

    private Optional<ServingException> check(String phase, StartDecision decision, long nowMs) {
        if (decision.allowed()) {
            return Optional.empty();
        }
        long retryAfterMs = retryAfterMs();
        log.info(
                "shutdown_refused",
                "phase",
                phase,
                "expected_ms",
                decision.expectedMs(),
                "measured",
                decision.measured(),
                "left_ms",
                decision.remainingMs(),
                "retry_after_ms",
                retryAfterMs);
        return Optional.of(
                ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "would not end before the shutdown does")
                        .withRetryAfter(retryAfterMs));
    }

    /** Returns when the caller should send the request again, in milliseconds. */
    long retryAfterMs() {
        return admission.retryAfterMs(tables.peers().anyOtherResponsive(), tables.nowMs());
    }

    /** Records how long the request lasted, for the decisions on later ones. */
    void recordEnd() {
        admission.recordRequest(route(), tables.nowMs() - request.arrivedMs());
    }

    /** Records how long a response lasted, for the decisions on later ones. */
    void recordResponseEnd(long sentMs) {
        admission.recordResponse(route(), tables.nowMs() - sentMs);
    }

    private String route() {
        return request.routed().route().name();
    }
}
