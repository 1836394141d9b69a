package org.pimentovale.gateway.caller;

import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.log.Events;

/**
 * Logs the decisions on one request, each with the attempt, the route and the active version of the configuration.
 *
 * <p>Not thread safe; used on one event loop.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestExecution.class);

    private final CallerRequest request;
    private final GatewayTables tables;

    RequestLog(CallerRequest request, GatewayTables tables) {
        this.request = request;
        this.tables = tables;
    }

    void info(String event, Object... keysAndValues) {
        Object[] line = new Object[keysAndValues.length + 6];
        line[0] = "request";
        line[1] = request.attempt().identifier();
        line[2] = "route";
        line[3] = request.routed().route().name();
        line[4] = "version";
        line[5] = tables.configuration().map(ServingConfiguration::version).orElse(-1L);
        System.arraycopy(keysAndValues, 0, line, 6, keysAndValues.length);
        Events.info(LOG, event, line);
    }

    /** Logs that the process ends before the request has ended, with the call to an endpoint that is open. */
    void abandoned(Optional<EndpointCall> openCall) {
        info(
                "request_abandoned",
                "endpoint",
                openCall.map(call -> call.endpoint().latest().identifier()).orElse("none"),
                "elapsed_ms",
                tables.nowMs() - request.arrivedMs());
    }

    /** Returns the error code that starts an outcome, without the details after the colon. */
    static String label(String outcome) {
        int colon = outcome.indexOf(':');
        return colon < 0 ? outcome : outcome.substring(0, colon);
    }
}
