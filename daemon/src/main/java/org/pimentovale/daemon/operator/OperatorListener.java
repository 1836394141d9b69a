package org.pimentovale.daemon.operator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.caller.InstanceState;
import org.pimentovale.daemon.caller.ProblemDetails;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.http.BodyReader;
import org.pimentovale.daemon.log.RequestTrace;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.schedule.EndpointView;
import org.pimentovale.log.Events;
import org.pimentovale.table.Configuration;

/**
 * Serves operators and their tool: the active configuration, endpoints, members, request events and metrics. Also
 * applies configurations that the store has accepted. Invariant: a request without the key changes nothing. Thread
 * safe.
 */
public final class OperatorListener {
    private static final Logger LOG = Logger.getLogger(OperatorListener.class);
    private static final String TRACE_ROUTE_PREFIX = "GET /v1/requests/";
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final ServingTables tables;
    private final InstanceState state;
    private final AccessKey key;
    private final DaemonMetrics metrics;
    private final RequestTrace trace;
    private final BodyReader bodyReader;

    /**
     * The state of an instance as reported to operators.
     *
     * @param self the instance's registration
     * @param revision the revision of its active configuration
     * @param ready whether the load balancer should send it requests
     * @param reason why it is not ready, or {@code ready}
     * @param running the number of running requests
     * @param live the live instances known to it, including itself
     */
    public record InstanceView(
            Member self, long revision, boolean ready, String reason, int running, List<Member> live) {}

    /**
     * Creates the request handler of the listener.
     *
     * @param vertx runs the timers
     * @param tables the shared tables
     * @param state the instance's state
     * @param key the key that operators must send
     * @param metrics the metrics to expose
     * @param trace the events of recent requests
     */
    public OperatorListener(
            Vertx vertx,
            ServingTables tables,
            InstanceState state,
            AccessKey key,
            DaemonMetrics metrics,
            RequestTrace trace) {
        this.tables = tables;
        this.state = state;
        this.key = key;
        this.metrics = metrics;
        this.trace = trace;
        this.bodyReader = new BodyReader(vertx, MAX_BODY_BYTES);
    }

    /**
     * Handles a request of an operator.
     *
     * @param http the request, whose response is ended here
     */
    public void handle(HttpServerRequest http) {
        if (!key.matches(http)) {
            respondWithProblem(
                    http,
                    ServingException.notRun(ErrorCode.UNAUTHORISED, "missing or wrong key at the operator listener"));
            return;
        }
        String route = http.method() + " " + http.path();
        if (route.startsWith(TRACE_ROUTE_PREFIX)) {
            respond(http, trace.find(route.substring(TRACE_ROUTE_PREFIX.length())));
            return;
        }
        switch (route) {
            case "GET /metrics" ->
                http.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                        .end(Buffer.buffer(metrics.render()));
            case "GET /v1/instance" -> respond(http, instanceView());
            case "GET /v1/endpoints" -> respond(http, endpointViews());
            case "GET /v1/configuration" ->
                respond(http, tables.configuration().active().orElse(Configuration.NONE));
            case "POST /v1/configuration" -> applyConfiguration(http);
            default -> respondWithProblem(http, ServingException.notRun(ErrorCode.KIND_UNKNOWN, route));
        }
    }

    private InstanceView instanceView() {
        return new InstanceView(
                tables.members().self(),
                tables.configuration().revision(),
                state.notReadyReason().isEmpty(),
                state.notReadyReason().map(ErrorCode::label).orElse("ready"),
                state.runningCount(),
                tables.members().live());
    }

    private List<EndpointView> endpointViews() {
        return tables.schedulers().stream()
                .flatMap(scheduler -> scheduler.describeEndpoints().stream())
                .toList();
    }

    /**
     * Applies a configuration that the operators' tool forwards after the store has accepted it, so that a store outage
     * right after the write does not delay the change.
     */
    private void applyConfiguration(HttpServerRequest http) {
        if (!http.method().equals(HttpMethod.POST)) {
            return;
        }
        bodyReader
                .read(http)
                .map(body -> Configuration.parse(body.getBytes()))
                .onSuccess(configuration -> {
                    if (tables.configuration().offer(configuration)) {
                        Events.info(
                                LOG,
                                "configuration_in_force",
                                "revision",
                                configuration.revision(),
                                "source",
                                "operator");
                    }
                    respond(http, instanceView());
                })
                .onFailure(failure -> respondWithProblem(
                        http,
                        failure instanceof ServingException known
                                ? known
                                : ServingException.notRun(ErrorCode.MALFORMED_BODY, failure.getMessage())));
    }

    private static void respond(HttpServerRequest http, Object value) {
        http.response().putHeader("Content-Type", "application/json").end(Buffer.buffer(Json.write(value)));
    }

    private static void respondWithProblem(HttpServerRequest http, ServingException failure) {
        http.response()
                .setStatusCode(failure.code().status())
                .putHeader("Content-Type", ProblemDetails.MEDIA_TYPE)
                .end(Buffer.buffer(Json.write(ProblemDetails.of(failure, "none"))));
    }
}
