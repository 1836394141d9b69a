package org.pimentovale.gateway.peer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.feed.ConfirmedState;
import org.pimentovale.gateway.hedge.HedgeReporter;
import org.pimentovale.gateway.limit.LiftedLimit;
import org.pimentovale.gateway.limit.PermitRequest;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.rollout.EvidenceReport;
import org.pimentovale.gateway.rollout.PhaseNotice;
import org.pimentovale.gateway.rollout.Rollouts;
import org.pimentovale.gateway.stage.StageDispatcher;
import org.pimentovale.gateway.stage.StageDispatchers;
import org.pimentovale.gateway.stage.StageProblem;
import org.pimentovale.gateway.stage.StageRelease;
import org.pimentovale.gateway.stage.StageResponse;
import org.pimentovale.gateway.stream.OriginQuestion;
import org.pimentovale.gateway.stream.OriginRecord;
import org.pimentovale.gateway.stream.StreamOrigins;
import org.pimentovale.gateway.suspect.LossReport;
import org.pimentovale.gateway.suspect.QuarantineNotice;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.batch.StageTicket;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.kernel.hedge.HedgeReport;
import org.pimentovale.kernel.limit.BodyMemory;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.TimedHttpClient;

/** Handles requests from the other gateways. Not thread safe; used on one event loop. */
public final class PeerListener {
    private static final Logger LOG = Logger.getLogger(PeerListener.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int HEAP_PARTS_OF_MESSAGES = 16;
    private static final int MAX_PIECES = 10_000;
    private static final long MAX_DURATION_MS = 86_400_000;

    private final GatewayTables tables;
    private final StageDispatchers dispatchers;
    private final SuspectTracker suspects;
    private final RequestPermits permits;
    private final StreamOrigins origins;
    private final Supplier<ConfirmedState> confirmedState;
    private final Supplier<Optional<String>> storeContact;
    private final BooleanSupplier draining;
    private final long startedAtMs;
    private final Optional<Rollouts> rollouts;
    private final HedgeReporter hedges;
    private final PeerMessages messages;

    /**
     * Creates a listener.
     *
     * @param tables provides the time
     * @param dispatchers the dispatchers of this gateway's services
     * @param suspects receives reports on suspected requests
     * @param permits grants permits to peers
     * @param origins remembers where streams began
     * @param confirmedState returns what this gateway knows beyond a restored store
     * @param storeContact returns what this gateway reports of its contact with the store, empty for nothing
     * @param draining returns whether this gateway is shutting down
     * @param startedAtMs time at which this gateway started, in milliseconds of the tables' clock
     * @param rollouts carries out roll-outs, empty if their orders are not read
     * @param hedges grants permits for hedges
     */
    public PeerListener(
            GatewayTables tables,
            StageDispatchers dispatchers,
            SuspectTracker suspects,
            RequestPermits permits,
            StreamOrigins origins,
            Supplier<ConfirmedState> confirmedState,
            Supplier<Optional<String>> storeContact,
            BooleanSupplier draining,
            long startedAtMs,
            Optional<Rollouts> rollouts,
            HedgeReporter hedges) {
        this.tables = tables;
        this.dispatchers = dispatchers;
        this.suspects = suspects;
        this.permits = permits;
        this.origins = origins;
        this.confirmedState = confirmedState;
        this.storeContact = storeContact;
        this.draining = draining;
        this.startedAtMs = startedAtMs;
        this.rollouts = rollouts;
        this.hedges = hedges;
        this.messages = new PeerMessages(
                tables::nowMs, new BodyMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS_OF_MESSAGES));
    }

    /** Closes the connections of peers whose messages have not arrived in time. To be called periodically. */
    public void closeSilentPeers() {
        messages.closeSilent();
    }

    /**
     * Handles a request. Unknown paths get status 404.
     *
     * @param http the request
     */
    public void handle(HttpServerRequest http) {
        String callId = http.getHeader(TimedHttpClient.CALL_ID);
        if (callId != null) {
            http.response().putHeader(TimedHttpClient.CALL_ID, callId);
        }
        switch (http.path()) {
            case PeerPaths.ALIVE -> handleProbe(http);
            case PeerPaths.STAGE_WORK -> messages.receive(http, body -> handleStageWork(http, body.getBytes()));
            case PeerPaths.SUSPECT ->
                messages.receive(http, body -> handleMessage(http, body, LossReport.class, suspects::handleLoss));
            case PeerPaths.PERMIT ->
                messages.receive(
                        http,
                        body -> handleQuestion(
                                http,
                                body,
                                PermitRequest.class,
                                request -> Future.succeededFuture(permits.handleRequest(request))));
            case PeerPaths.CONFIRMED -> sendResponse(http, Json.write(confirmedState.get()), STATUS_OK);
            case PeerPaths.STREAM_ORIGIN_LOOKUP ->
                messages.receive(http, body -> handleQuestion(http, body, OriginQuestion.class, origins::answer));
            case PeerPaths.STREAM_ORIGIN ->
                messages.receive(http, body -> handleMessage(http, body, OriginRecord.class, origins::handleRecord));
            case PeerPaths.LIMIT_LIFTED ->
                messages.receive(http, body -> handleMessage(http, body, LiftedLimit.class, permits::handleLifted));
            case PeerPaths.QUARANTINE ->
                messages.receive(
                        http, body -> handleMessage(http, body, QuarantineNotice.class, suspects::handleNotice));
            case PeerPaths.STAGE_RELEASE ->
                messages.receive(http, body -> handleMessage(http, body, StageRelease.class, this::release));
            case PeerPaths.HEDGE_REPORT ->
                messages.receive(http, body -> handleQuestion(http, body, HedgeReport.class, hedges::handleReport));
            default ->
                rollouts.ifPresentOrElse(
                        known -> handleRollout(http, known),
                        () -> http.response().setStatusCode(404).end());
        }
    }

    private void handleRollout(HttpServerRequest http, Rollouts rollouts) {
        switch (http.path()) {
            case PeerPaths.ROLLOUT_EVIDENCE ->
                messages.receive(
                        http, body -> handleQuestion(http, body, EvidenceReport.class, rollouts::handleReport));
            case PeerPaths.ROLLOUT_PHASE ->
                messages.receive(http, body -> handleMessage(http, body, PhaseNotice.class, rollouts::handleNotice));
            case PeerPaths.ROLLOUTS -> sendResponse(http, rollouts.overview(), STATUS_OK);
            default -> http.response().setStatusCode(404).end();
        }
    }

    private void handleProbe(HttpServerRequest http) {
        HttpServerResponse response = http.response()
                .setStatusCode(draining.getAsBoolean() ? STATUS_UNAVAILABLE : STATUS_OK)
                .putHeader(PeerPaths.UPTIME_MS, Long.toString(tables.nowMs() - startedAtMs));
        storeContact.get().ifPresent(report -> response.putHeader(PeerPaths.STORE_CONTACT, report));
        response.end();
    }

    private void handleStageWork(HttpServerRequest http, byte[] body) {
        if (draining.getAsBoolean()) {
            sendProblem(http, ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "shutting down"));
            return;
        }
        StageWork work;
        try {
            work = readStageWork(body);
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

    private static StageWork readStageWork(byte[] body) {
        StageWork work = Json.read(body, StageWork.class);
        boolean valid = work.pieces() > 0
                && work.pieces() <= MAX_PIECES
                && work.resultBytes() >= 0
                && isDuration(work.goalLeftMs())
                && isDuration(work.leftMs());
        if (!valid) {
            throw ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "a number of the stage is out of range");
        }
        return work;
    }

    private static boolean isDuration(long durationMs) {
        return durationMs >= 0 && durationMs <= MAX_DURATION_MS;
    }

    private static <T> void handleQuestion(
            HttpServerRequest http, Buffer body, Class<T> type, Function<T, Future<?>> answer) {
        try {
            answer.apply(Json.read(body.getBytes(), type))
                    .onSuccess(answered -> sendResponse(http, Json.write(answered), STATUS_OK))
                    .onFailure(failure -> sendProblem(http, ServingException.of(failure)));
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
