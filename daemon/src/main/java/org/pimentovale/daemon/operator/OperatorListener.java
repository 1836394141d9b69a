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
 * Answers operators and their tool: what is in force, endpoints, members, metrics; and takes accepted configurations.
 * Invariant: a call without the key changes nothing. Thread safe.
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
     * What an instance says of itself.
     *
     * @param self the instance
     * @param revision the revision in force
     * @param ready whether the balancer should send it requests
     * @param reason why not, or {@code ready}
     * @param running the number of running requests
     * @param live the live instances that it knows of, with itself
     */
    public record InstanceView(
            Member self, long revision, boolean ready, String reason, int running, List<Member> live) {}

    /**
     * Creates a listener that is not open yet.
     *
     * @param vertx runs it
     * @param tables the shared tables
     * @param state the instance's state
     * @param key the key that operators must send
     * @param metrics is rendered
     * @param trace is searched
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
     * Answers one request of an operator.
     *
     * @param http the request
     */
    public void handle(HttpServerRequest http) {
        if (!key.matches(http)) {
            respondWithProblem(http, ServingException.notRun(ErrorCode.UNAUTHORISED, "operator listener"));
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

    /** The operators' tool passes on what the store has accepted, so that an outage right after it does no harm. */
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
