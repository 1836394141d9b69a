package org.pimentovale.gateway.caller;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.CallerAttempt;
import org.pimentovale.gateway.port.CallerCodec;
import org.pimentovale.kernel.limit.BodyMemory;
import org.pimentovale.kernel.membership.RendezvousHash;
import org.pimentovale.kernel.serving.RequestRouting;
import org.pimentovale.kernel.serving.RequestRouting.RoutedRequest;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.log.Events;

/** Receives callers' requests, buffers their bodies and executes them. Not thread safe; used on one event loop. */
public final class CallerListener {
    private static final Logger LOG = Logger.getLogger(CallerListener.class);
    private static final long RETRY_AFTER_MS = 300;
    private static final long MAX_HOLD_MS = 400;
    private static final String SPLIT_HASH_KEY = "split";

    private final GatewayTables tables;
    private final GatewayState state;
    private final CallerCodec callerCodec;
    private final RequestServices services;
    private final BodyMemory bodyMemory;
    private final CallerConnections connections = new CallerConnections();
    private final List<HeldRequest> held = new ArrayList<>();

    /** A request that waits until the store has been read for the first time. */
    private record HeldRequest(HttpServerRequest http, long arrivedMs) {}

    /**
     * Creates a listener.
     *
     * @param tables the gateway's state
     * @param state tracks the running requests
     * @param callerCodec decodes the callers' headers
     * @param services the collaborators of each execution
     * @param bodyMemory the memory for the bodies of all requests
     */
    public CallerListener(
            GatewayTables tables,
            GatewayState state,
            CallerCodec callerCodec,
            RequestServices services,
            BodyMemory bodyMemory) {
        this.tables = tables;
        this.state = state;
        this.callerCodec = callerCodec;
        this.services = services;
        this.bodyMemory = bodyMemory;
    }

    /**
     * Handles a connection that a caller has opened.
     *
     * @param connection the connection
     */
    public void handleConnection(HttpConnection connection) {
        connections.add(connection, tables.nowMs());
    }

    /**
     * Returns the number of open connections of callers.
     *
     * @return the number
     */
    public int connectionCount() {
        return connections.count();
    }

    /**
     * Handles a request, or holds it for a short time if the store has not been read yet.
     *
     * @param http the request, whose head has been received
     */
    public void handle(HttpServerRequest http) {
        long arrivedMs = tables.nowMs();
        CallerConnections.Usage usage = connections.recordRequest(http.connection(), arrivedMs);
        if (state.draining()) {
            logWhileDraining(http, usage, arrivedMs);
        }
        if (tables.ready() || state.draining()) {
            admit(http, arrivedMs);
            return;
        }
        // After a start the listener opens shortly before the configuration is loaded. Holding the first requests for
        // a moment avoids refusing them.
        http.pause();
        HeldRequest request = new HeldRequest(http, arrivedMs);
        held.add(request);
        services.vertx().setTimer(MAX_HOLD_MS, fired -> {
            if (held.remove(request)) {
                admitHeld(request);
            }
        });
    }

    private void logWhileDraining(HttpServerRequest http, CallerConnections.Usage usage, long nowMs) {
        Events.info(
                LOG,
                "request_while_draining",
                "uri",
                http.uri(),
                "left_ms",
                state.shutdown().remainingMs(nowMs),
                "connection_age_ms",
                nowMs - usage.openedMs(),
                "earlier_requests",
                usage.requests());
    }

    /** Admits the held requests if the gateway has become ready. */
    public void admitHeld() {
        if (!held.isEmpty() && tables.ready()) {
            List<HeldRequest> ready = List.copyOf(held);
            held.clear();
            ready.forEach(this::admitHeld);
        }
    }

    /** Ends the wait of the held requests, since the gateway shuts down; they are refused unless it is ready. */
    public void startDraining() {
        List<HeldRequest> waiting = List.copyOf(held);
        held.clear();
        waiting.forEach(this::admitHeld);
    }

    /** Closes the connections that are not used, so that their callers connect to another gateway. */
    public void closeIdleConnections() {
        connections.closeIdle(tables.nowMs());
    }

    private void admitHeld(HeldRequest request) {
        admit(request.http(), request.arrivedMs());
        request.http().resume();
    }

    private void admit(HttpServerRequest http, long arrivedMs) {
        CallerResponse callerResponse = new CallerResponse(http, state::draining);
        callerResponse.written().onComplete(done -> connections.recordResponse(http.connection(), tables.nowMs()));
        try {
            ServingConfiguration configuration = activeConfiguration();
            CallerAttempt attempt = callerCodec.read(http.headers());
            RoutedRequest routed = RequestRouting.route(
                    configuration,
                    http.authority() == null ? "" : http.authority().toString(),
                    path(http.uri()),
                    attempt.key(),
                    RendezvousHash.weight(SPLIT_HASH_KEY, attempt.identifier()));
            readBody(
                    http,
                    callerResponse,
                    attempt,
                    routed,
                    configuration.limits().maximumBodyBytes(),
                    arrivedMs);
        } catch (ServingException failure) {
            refuse(http, callerResponse, failure);
        }
    }

    private ServingConfiguration activeConfiguration() {
        Optional<ServingConfiguration> configuration = tables.configuration();
        if (configuration.isEmpty() || !tables.ready()) {
            throw ServingException.notRun(ErrorCode.NOT_CONFIGURED, "the store has not been read yet");
        }
        return configuration.get();
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private void refuse(HttpServerRequest http, CallerResponse callerResponse, ServingException failure) {
        long retryAfterMs = state.draining()
                ? state.shutdown().retryAfterMs(tables.peers().anyOtherResponsive(), tables.nowMs())
                : RETRY_AFTER_MS;
        int status = callerResponse.sendFailure(failure, retryAfterMs);
        Events.info(
                LOG,
                "request_refused",
                "uri",
                http.uri(),
                "host",
                http.authority(),
                "status",
                status,
                "reason",
                failure.getMessage(),
                "version",
                tables.configuration().map(ServingConfiguration::version).orElse(-1L));
    }

    private void readBody(
            HttpServerRequest http,
            CallerResponse callerResponse,
            CallerAttempt attempt,
            RoutedRequest routed,
            long maxBytes,
            long arrivedMs) {
        RequestBody body = new RequestBody(http.headers(), bodyMemory.newReservation(), maxBytes);
        long callerTimeoutMs = attempt.deadlineMs().orElse(routed.route().timeoutMs());
        CallerRequest request = new CallerRequest(
                attempt,
                http.method(),
                http.uri(),
                http.headers(),
                body::content,
                routed,
                arrivedMs,
                arrivedMs + Math.min(callerTimeoutMs, routed.route().timeoutMs()));
        RequestExecution execution =
                new RequestExecution(request, callerResponse, tables, services, ended -> callerResponse
                        .written()
                        .onComplete(done -> {
                            state.remove(ended);
                            body.release();
                        }));
        state.add(execution);
        http.response().closeHandler(closed -> {
            callerResponse.connectionClosed();
            execution.callerDisconnected();
        });
        execution.awaitBody();
        body.reserveAnnounced().ifPresent(execution::fail);
        http.handler(part -> body.add(part).ifPresent(execution::fail));
        http.endHandler(ended -> {
            body.complete();
            execution.start();
        });
    }
}
