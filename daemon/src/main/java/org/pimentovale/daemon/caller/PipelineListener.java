package org.pimentovale.daemon.caller;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Clock;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.endpoint.EndpointConnectionPool;
import org.pimentovale.daemon.endpoint.LoadProbe;
import org.pimentovale.daemon.http.BodyReader;
import org.pimentovale.daemon.http.ListenerOptions;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.log.Events;

/**
 * Serves callers' requests on one event loop. Each listener has its own connections to endpoints; all listeners of an
 * instance share the tables. Not thread safe; used on its event loop.
 */
public final class PipelineListener extends VerticleBase {
    private static final Logger LOG = Logger.getLogger(PipelineListener.class);
    private static final String REQUESTS_PATH = "/v1/requests/";

    private final PipelineServices services;
    private final LoadProbe loadProbe;
    private final InstanceState state;
    private final RequestValidator validator;
    private final BodyReader bodyReader;
    private EndpointConnectionPool connections;
    private Context workerContext;

    /**
     * Creates a listener.
     *
     * @param services components shared by all requests
     * @param loadProbe reads the load reports of endpoints
     * @param state tells whether new requests are accepted
     * @param wallClock used to determine the age of idempotency keys
     */
    public PipelineListener(PipelineServices services, LoadProbe loadProbe, InstanceState state, Clock wallClock) {
        this.services = services;
        this.loadProbe = loadProbe;
        this.state = state;
        this.validator = new RequestValidator(
                services.tables(), wallClock, services.settings().keyRetentionHours());
        this.bodyReader = new BodyReader(services.vertx(), services.settings().maxBodyBytes());
    }

    @Override
    public Future<?> start() {
        workerContext = super.context;
        connections = new EndpointConnectionPool(services.vertx(), loadProbe, services.tables());
        return services.vertx()
                .createHttpServer(ListenerOptions.create(services.settings().callerListener()))
                .requestHandler(this::handle)
                .listen()
                .onSuccess(this::recordPort);
    }

    private void recordPort(HttpServer server) {
        state.setCallerPort(server.actualPort());
        Events.info(LOG, "callers_listening", "port", server.actualPort());
    }

    private void handle(HttpServerRequest http) {
        String path = http.path();
        if (http.method().equals(HttpMethod.GET) && path.equals("/live")) {
            http.response().end("live\n");
        } else if (http.method().equals(HttpMethod.GET) && path.equals("/ready")) {
            Optional<ErrorCode> refusal = state.notReadyReason();
            http.response()
                    .setStatusCode(refusal.isEmpty() ? 200 : 503)
                    .end(refusal.map(ErrorCode::label).orElse("ready") + "\n");
        } else if (http.method().equals(HttpMethod.POST) && path.startsWith(REQUESTS_PATH)) {
            serve(http, path.substring(REQUESTS_PATH.length()));
        } else {
            refuse(http, ServingException.notRun(ErrorCode.KIND_UNKNOWN, http.method() + " " + path), "none");
        }
    }

    private void serve(HttpServerRequest http, String kind) {
        long arrivalMs = services.tables().clock().nowMs();
        String identifier = newIdentifier();
        Optional<ErrorCode> refusal = state.refusalReason();
        if (refusal.isPresent()) {
            refuse(http, ServingException.notRun(refusal.get(), "not accepting requests"), identifier);
            return;
        }
        state.requestStarted();
        services.metrics().recordRequestStart();
        bodyReader
                .read(http)
                .map(bytes -> validator.validate(http, kind, identifier, bytes, arrivalMs))
                .onSuccess(request -> new RequestRun(
                                services, connections, workerContext, request, http.response(), this::endRequest)
                        .start())
                .onFailure(failure -> {
                    refuse(
                            http,
                            failure instanceof ServingException servingFailure
                                    ? servingFailure
                                    : ServingException.notRun(ErrorCode.INTERNAL, String.valueOf(failure)),
                            identifier);
                    endRequest();
                });
    }

    private void endRequest() {
        services.metrics().recordRequestEnd();
        state.requestEnded();
    }

    private void refuse(HttpServerRequest http, ServingException failure, String identifier) {
        services.metrics().recordRefusal(failure.code(), failure.outcome());
        Events.info(
                LOG,
                "request_refused",
                "request",
                identifier,
                "code",
                failure.code().label(),
                "outcome",
                failure.outcome().label(),
                "detail",
                failure.getMessage());
        long retryAfterMs = failure.code().status() == 503 ? 1_000 : 0;
        ResponseWriter.writeProblem(http.response(), failure, identifier, retryAfterMs);
    }

    private String newIdentifier() {
        return String.format("%016x", services.random().nextLong());
    }
}
