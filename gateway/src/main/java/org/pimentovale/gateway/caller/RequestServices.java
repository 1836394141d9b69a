package org.pimentovale.gateway.caller;

import io.vertx.core.Vertx;
import java.util.function.UnaryOperator;
import org.pimentovale.gateway.endpoint.EndpointClient;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.EndpointDialect;
import org.pimentovale.gateway.stage.StageClient;
import org.pimentovale.gateway.suspect.SuspectExchange;

/**
 * What every run of a request needs.
 *
 * @param vertx runs timers
 * @param endpoints sends requests to endpoints
 * @param endpointCodec what endpoints speak
 * @param stages has stages done
 * @param suspects knows the requests that crash endpoints
 * @param metrics counts what happens
 * @param resultAddress tells the address of the endpoint that keeps a result
 */
public record RequestServices(
        Vertx vertx,
        EndpointClient endpoints,
        EndpointDialect endpointCodec,
        StageClient stages,
        SuspectExchange suspects,
        GatewayMetrics metrics,
        UnaryOperator<String> resultAddress) {}
