package org.pimentovale.gateway.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.stream.StreamOrigin;

/**
 * The attempts of one request: sends them to endpoints, and tells whether one is running or may have run.
 *
 * <p>Invariant: every attempt is sent by {@link #send}, and recorded there in the budgets and the history. Not thread
 * safe; used on one event loop.
 */
final class RequestAttempts {
    private final CallerRequest request;
    private final GatewayTables tables;
    private final RequestServices services;
    private final EndpointCandidates candidates;
    private final EndpointSender sender;
    private final SendHistory history;
    private final AttemptRecorder recorder;
    private final List<EndpointCall> calls = new ArrayList<>();

    RequestAttempts(
            CallerRequest request,
            GatewayTables tables,
            RequestServices services,
            EndpointCandidates candidates,
            EndpointSender sender,
            SendHistory history,
            AttemptRecorder recorder) {
        this.request = request;
        this.tables = tables;
        this.services = services;
        this.candidates = candidates;
        this.sender = sender;
        this.history = history;
        this.recorder = recorder;
    }

    /** Sends the request to an endpoint, with the results of its stages if it has any. */
    EndpointCall send(EndpointState endpoint, long remainingMs, Optional<List<String>> stageResults) {
        long nowMs = tables.nowMs();
        ServingService service = candidates.service();
        String identifier = endpoint.latest().identifier();
        if (!history.sentBefore()) {
            tables.retryBudget(service.name()).recordFirstAttempt(nowMs);
            if (service.memoryTokens().isPresent()) {
                tables.tokenMeans()
                        .ifPresent(means ->
                                means.record(service.name(), request.attempt().tokens()));
            }
        }
        if (endpoint.cold(nowMs)) {
            tables.coldEndpointLimiter().recordSend(identifier, service.coldRequestsPerSecond(), nowMs);
        }
        candidates.markTried(identifier);
        recordOrigin(endpoint.latest(), history.recordSend());
        EndpointCall call = sender.send(endpoint, remainingMs, stageResults, nowMs);
        calls.removeIf(earlier -> !earlier.open());
        calls.add(call);
        recorder.attemptSent(call, remainingMs);
        return call;
    }

    private void recordOrigin(EndpointRecord endpoint, int dispatch) {
        if (request.beginsResumableStream()) {
            StreamOrigin origin = new StreamOrigin(endpoint.service(), endpoint.build(), dispatch);
            services.origins().record(request.attempt().identifier(), origin);
        }
    }

    /** Returns the attempt that is running, or the earlier of two. */
    Optional<EndpointCall> running() {
        return calls.stream().filter(EndpointCall::open).findFirst();
    }

    /** Returns the number of attempts that are running, two at most. */
    int runningCount() {
        return (int) calls.stream().filter(EndpointCall::open).count();
    }

    /** Tells whether an endpoint is running the request or may have run it. */
    boolean mayRun() {
        return history.mayHaveRun() || running().isPresent();
    }

    /** Cancels all running attempts but one, so that their endpoints stop. */
    void cancelOthers(EndpointCall kept) {
        calls.stream().filter(call -> call != kept).forEach(EndpointCall::close);
    }

    /** Cancels all running attempts. */
    void cancelRunning() {
        calls.forEach(EndpointCall::close);
    }
}
