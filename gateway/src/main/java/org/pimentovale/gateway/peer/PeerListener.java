package org.pimentovale.gateway.peer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.limit.LiftedLimit;
import org.pimentovale.gateway.limit.PermitRequest;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.stage.StageDispatcher;
import org.pimentovale.gateway.stage.StageDispatchers;
import org.pimentovale.gateway.stage.StageProblem;
import org.pimentovale.gateway.stage.StageRelease;
import org.pimentovale.gateway.stage.StageResponse;
import org.pimentovale.gateway.suspect.LossReport;
import org.pimentovale.gateway.suspect.QuarantineNotice;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.batch.StageTicket;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.kernel.limit.Permit;
import org.pimentovale.log.Events;

/** Handles requests from the other gateways. Not thread safe; used on one event loop. */
public final class PeerListener {
    private static final Logger LOG = Logger.getLogger(PeerListener.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final GatewayTables tables;
    private final StageDispatchers dispatchers;
    private final SuspectTracker suspects;
    private final RequestPermits permits;
    private final BooleanSupplier draining;
    private final long startedAtMs;

    /**
     * Creates a listener.
     *
     * @param tables provides the time
     * @param dispatchers the dispatchers of this gateway's services
     * @param suspects receives reports on suspected requests
     * @param permits grants permits to peers
     * @param draining returns whether this gateway is shutting down
     * @param startedAtMs time at which this gateway started, in milliseconds of the tables' clock
     */
    public PeerListener(
            GatewayTables tables,
            StageDispatchers dispatchers,
            SuspectTracker suspects,
            RequestPermits permits,
            BooleanSupplier draining,
            long startedAtMs) {
        this.tables = tables;
        this.dispatchers = dispatchers;
        this.suspects = suspects;
        this.permits = permits;
        this.draining = draining;
        this.startedAtMs = startedAtMs;
    }

    /**
     * Handles a request. Unknown paths get status 404.
     *
     * @param http the request
     */
    public void handle(HttpServerRequest http) {
        switch (http.path()) {
            case PeerPaths.ALIVE ->
                http.response()
                        .setStatusCode(draining.getAsBoolean() ? STATUS_UNAVAILABLE : STATUS_OK)
                        .putHeader(PeerPaths.UPTIME_MS, Long.toString(tables.nowMs() - startedAtMs))
                        .end();
            case PeerPaths.STAGE_WORK -> http.body().onSuccess(body -> handleStageWork(http, body.getBytes()));
            case PeerPaths.SUSPECT ->
                http.body().onSuccess(body -> handleMessage(http, body, LossReport.class, suspects::handleLoss));
            case PeerPaths.PERMIT -> http.body().onSuccess(body -> handlePermitRequest(http, body));
            case PeerPaths.LIMIT_LIFTED ->
                http.body().onSuccess(body -> handleMessage(http, body, LiftedLimit.class, permits::handleLifted));
            case PeerPaths.QUARANTINE ->
                http.body()
                        .onSuccess(body -> handleMessage(http, body, QuarantineNotice.class, suspects::handleNotice));
            case PeerPaths.STAGE_RELEASE ->
                http.body().onSuccess(body -> handleMessage(http, body, StageRelease.class, this::release));
            default -> http.response().setStatusCode(404).end();
        }
    }

    private void handleStageWork(HttpServerRequest http, byte[] body) {
        if (draining.getAsBoolean()) {
            sendProblem(http, ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "shutting down"));
            return;
        }
        StageWork work;
        try {
            work = Json.read(body, StageWork.class);
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            sendProblem(http, malformed);
            return;
        }
        StageTicket ticket = new StageTicket(work, tables.nowMs());
        StageDispatcher dispatcher = dispatchers.dispatcher(work.service());
        Future<List<String>> results = dispatcher.submit(ticket);
        http.response().closeHandler(closed -> dispatcher.cancel(ticket));
        results.onSuccess(handles -> sendResponse(http, Json.write(new StageResponse(handles)), STATUS_OK))
                .onFailure(failure -> sendProblem(http, ServingException.of(failure)));
    }

    private void handlePermitRequest(HttpServerRequest http, Buffer body) {
        try {
            Permit permit = permits.handleRequest(Json.read(body.getBytes(), PermitRequest.class));
            sendResponse(http, Json.write(permit), STATUS_OK);
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            sendProblem(http, malformed);
        }
    }

    private void release(StageRelease release) {
        dispatchers.dispatcher(release.service()).release(release.handles());
    }

    private static <T> void handleMessage(HttpServerRequest http, Buffer body, Class<T> type, Consumer<T> handler) {
        try {
            handler.accept(Json.read(body.getBytes(), type));
            http.response().end();
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            sendProblem(http, malformed);
        }
    }

    private static void sendProblem(HttpServerRequest http, ServingException failure) {
        sendResponse(http, Json.write(StageProblem.of(failure)), STATUS_UNAVAILABLE);
    }

    private static void sendResponse(HttpServerRequest http, byte[] body, int status) {
        HttpServerResponse response = http.response();
        if (!response.closed()) {
            response.setStatusCode(status).end(Buffer.buffer(body));
        }
    }
}
