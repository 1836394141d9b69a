package org.pimentovale.gateway.caller;

import io.vertx.core.Vertx;
import java.util.function.UnaryOperator;
import org.pimentovale.gateway.endpoint.ConnectionProbe;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.endpoint.EndpointResponseObserver;
import org.pimentovale.gateway.hedge.HedgeReporter;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.stage.StageClient;
import org.pimentovale.gateway.stream.StreamOrigins;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.kernel.limit.ResponseMemory;
import org.pimentovale.kernel.shutdown.ShutdownAdmission;

/**
 * The collaborators that all executions of requests share.
 *
 * @param vertx runs timers on the event loop
 * @param endpoints sends requests to endpoints
 * @param probe tells whether endpoints still run
 * @param observer records what endpoints say about themselves in their responses
 * @param endpointCodec encodes and decodes the endpoints' headers
 * @param stages runs stages through their owners
 * @param suspects tracks the requests that crash endpoints
 * @param permits keeps to the rate limits that endpoints name
 * @param origins remembers where resumable streams began
 * @param shutdown decides which requests start while the gateway shuts down
 * @param hedges decides which slow requests get a second copy, within the quota that gateways share
 * @param responseMemory the memory for responses to callers that read slowly
 * @param metrics the gateway's metrics
 * @param resultAddress maps the handle of a stage result to the address of the endpoint that stores it
 */
public record RequestServices(
        Vertx vertx,
        EndpointClient endpoints,
        ConnectionProbe probe,
        EndpointResponseObserver observer,
        EndpointCodec endpointCodec,
        StageClient stages,
        SuspectTracker suspects,
        RequestPermits permits,
        StreamOrigins origins,
        ShutdownAdmission shutdown,
        HedgeReporter hedges,
        ResponseMemory responseMemory,
        GatewayMetrics metrics,
        UnaryOperator<String> resultAddress) {}
