package org.pimentovale.gateway.caller;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.port.DispatchContext;
import org.pimentovale.gateway.port.ResponseHead;
import org.pimentovale.gateway.rollout.CallSample;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.serving.ServingWorkspace;

/**
 * Sends one caller's request to endpoints and reads the heads of their responses.
 *
 * <p>Invariant: each response that arrives is observed, also after its call was closed. Not thread safe; used on one
 * event loop.
 */
final class EndpointSender {
    private final CallerRequest request;
    private final GatewayTables tables;
    private final RequestServices services;

    EndpointSender(CallerRequest request, GatewayTables tables, RequestServices services) {
        this.request = request;
        this.tables = tables;
        this.services = services;
    }

    /** Sends the request to an endpoint, with the results of its stages if it has any. */
    EndpointCall send(EndpointState endpoint, long remainingMs, Optional<List<String>> stageResults, long nowMs) {
        EndpointRecord target = endpoint.latest();
        Optional<String> workspace = request.routed().workspace().map(ServingWorkspace::name);
        DispatchContext dispatch = new DispatchContext(target.identifier(), remainingMs, workspace, stageResults);
        EndpointClient.PendingRequest pending = services.endpoints()
                .send(
                        target.address(),
                        request.method(),
                        request.uri(),
                        services.endpointCodec().requestHeaders(request.headers(), dispatch),
                        request.body(),
                        response -> observe(target, response));
        CallSample sample =
                tables.rollouts().begin(target, request.routed().route().name(), endpoint.cold(nowMs));
        return new EndpointCall(
                services.vertx(),
                endpoint,
                pending,
                sample,
                nowMs,
                request.attempt().tokens());
    }

    private void observe(EndpointRecord target, HttpClientResponse response) {
        ResponseHead head = readHead(response);
        boolean answered = !head.notRun() && head.answers(request.attempt().identifier());
        services.observer().observe(target, head, answered);
    }

    /** Records that an endpoint failed to answer, also as evidence on its build if it may have run the request. */
    void recordFailure(EndpointCall call, ServingException failure) {
        call.endpoint().recordFailure(tables.nowMs());
        if (!tables.rollouts().enabled() || failure.outcome() == Outcome.NOT_RUN) {
            return;
        }
        if (failure.code() == ErrorCode.CONNECTION_LOST || failure.code() == ErrorCode.STREAM_TRUNCATED) {
            CallSample sample = call.sample();
            endedUnannounced(call).onSuccess(ended -> {
                if (ended) {
                    sample.lost();
                } else {
                    sample.failed();
                }
            });
        } else {
            call.sample().failed();
        }
    }

    /** Tells whether an endpoint has ended that is listed as ready and has not said that it leaves, in any zone. */
    Future<Boolean> endedUnannounced(EndpointCall call) {
        EndpointRecord target = call.endpoint().latest();
        boolean expected = tables.endpoints()
                .find(target.identifier())
                .map(tables.endpoints()::announcesEnd)
                .orElse(true);
        return expected ? Future.succeededFuture(false) : services.probe().refuses(target.address());
    }

    /** Decodes the head of a response. */
    ResponseHead readHead(HttpClientResponse response) {
        return services.endpointCodec().readResponseHead(response.statusCode(), response.headers());
    }
}
