package org.pimentovale.gateway.caller;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.ResponseHead;

/**
 * Records what became of the attempts of one request: in the state of their endpoints, the suspects, the metrics and
 * the log. One method for each event in the life of an attempt. Not thread safe; used on one event loop.
 */
final class AttemptRecorder {
    private static final int STATUS_MISDIRECTED_REQUEST = 421;

    private final CallerRequest request;
    private final GatewayTables tables;
    private final RequestServices services;
    private final EndpointCandidates candidates;
    private final ShutdownGate shutdownGate;
    private final ResponseRecorder responses;
    private final RequestLog log;

    AttemptRecorder(
            CallerRequest request,
            GatewayTables tables,
            RequestServices services,
            EndpointCandidates candidates,
            ShutdownGate shutdownGate,
            ResponseRecorder responses,
            RequestLog log) {
        this.request = request;
        this.tables = tables;
        this.services = services;
        this.candidates = candidates;
        this.shutdownGate = shutdownGate;
        this.responses = responses;
        this.log = log;
    }

    /** Records that an attempt was sent. */
    void attemptSent(EndpointCall call, long remainingMs) {
        responses.sent(call.endpoint(), remainingMs, candidates.placement(), candidates.memory(), call.sentMs());
    }

    /** Records that an attempt ended with a failure before anything of its response was sent to the caller. */
    void attemptFailed(EndpointCall call, ServingException failure) {
        reportSuspect(call, failure);
        services.metrics()
                .recordEndpointFailure(
                        candidates.service().name(), failure.code().label());
        log.info("send_failed", "endpoint", call.endpoint().latest().identifier(), "failure", failure.getMessage());
    }

    /** Records that an attempt ended with a response that broke off after its beginning was sent to the caller. */
    void attemptBrokeOff(EndpointCall call, ServingException failure) {
        reportSuspect(call, failure);
    }

    /** Records that an attempt ended with the statement that the endpoint has not run the request. */
    void attemptRefused(EndpointCall call, ResponseHead head) {
        String identifier = call.endpoint().latest().identifier();
        services.metrics().recordEndpointFailure(candidates.service().name(), "refused-" + head.status());
        log.info("refused_by_endpoint", "endpoint", identifier, "status", head.status());
        if (head.status() == STATUS_MISDIRECTED_REQUEST) {
            call.endpoint().recordFailure(tables.nowMs());
        }
    }

    /** Records that an attempt ended with a complete response, which was sent to the caller. */
    void attemptAnswered(EndpointCall call, int status) {
        call.recordAnswer(status);
        if (status < 300) {
            shutdownGate.recordEnd();
            shutdownGate.recordResponseEnd(call.sentMs());
            services.suspects().recordAnswer(request.attempt().sharedParts());
        }
    }

    /** Reports a lost connection, since the request may have crashed the endpoint unless it continued its answer. */
    private void reportSuspect(EndpointCall call, ServingException failure) {
        if (failure.code() == ErrorCode.CONNECTION_LOST || failure.code() == ErrorCode.STREAM_TRUNCATED) {
            log.info(
                    "request_lost",
                    "endpoint",
                    call.endpoint().latest().identifier(),
                    "answer_continued",
                    call.answerContinued(),
                    "shared_parts",
                    request.attempt().sharedParts());
            if (!call.answerContinued()) {
                services.suspects().recordConnectionLoss(call.endpoint().latest(), request.lostRequest());
            }
        }
    }
}
