package org.pimentovale.gateway.peer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.stage.StageAnswer;
import org.pimentovale.gateway.stage.StageDispatcher;
import org.pimentovale.gateway.stage.StageOwnership;
import org.pimentovale.gateway.stage.StageProblem;
import org.pimentovale.gateway.stage.StageRelease;
import org.pimentovale.gateway.suspect.SuspectExchange;
import org.pimentovale.gateway.suspect.SuspectReport;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.batch.StageTicket;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.log.Events;

/** Answers the other gateways. Not thread safe; used on one event loop. */
public final class PeerListener {
    private static final Logger LOG = Logger.getLogger(PeerListener.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final GatewayTables tables;
    private final StageOwnership ownership;
    private final SuspectExchange suspects;
    private final BooleanSupplier leaving;
    private final long startedMs;

    /**
     * Creates a listener.
     *
     * @param tables what the gateway knows
     * @param ownership the dispatchers of this gateway
     * @param suspects takes news of suspected requests
     * @param leaving tells whether this gateway is shutting down
     * @param startedMs when this gateway started, in milliseconds
     */
    public PeerListener(
            GatewayTables tables,
            StageOwnership ownership,
            SuspectExchange suspects,
            BooleanSupplier leaving,
            long startedMs) {
        this.tables = tables;
        this.ownership = ownership;
        this.suspects = suspects;
        this.leaving = leaving;
        this.startedMs = startedMs;
    }

    /**
     * Answers a call.
     *
     * @param http the call
     */
    public void handle(HttpServerRequest http) {
        switch (http.path()) {
            case PeerPaths.ALIVE ->
                http.response()
                        .setStatusCode(leaving.getAsBoolean() ? STATUS_UNAVAILABLE : STATUS_OK)
                        .putHeader(PeerPaths.UPTIME_MS, Long.toString(tables.nowMs() - startedMs))
                        .end();
            case PeerPaths.STAGE_WORK -> http.body().onSuccess(body -> stageWork(http, body.getBytes()));
            case PeerPaths.SUSPECT -> http.body().onSuccess(body -> suspect(http, body.getBytes()));
            case PeerPaths.STAGE_RELEASE -> http.body().onSuccess(body -> stageRelease(http, body.getBytes()));
            default -> http.response().setStatusCode(404).end();
        }
    }

    private void stageWork(HttpServerRequest http, byte[] body) {
        if (leaving.getAsBoolean()) {
            answerProblem(http, ServingException.notRun(ErrorCode.INSTANCE_DRAINING, "shutting down"));
            return;
        }
        StageWork work;
        try {
            work = Json.read(body, StageWork.class);
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            answerProblem(http, malformed);
            return;
        }
        StageTicket ticket = new StageTicket(work, tables.nowMs());
        StageDispatcher dispatcher = ownership.dispatcher(work.service());
        Future<List<String>> results = dispatcher.submit(ticket);
        http.response().closeHandler(closed -> dispatcher.cancel(ticket));
        results.onSuccess(handles -> answer(http, Json.write(new StageAnswer(handles)), STATUS_OK))
                .onFailure(failure -> answerProblem(http, ServingException.of(failure)));
    }

    private void stageRelease(HttpServerRequest http, byte[] body) {
        try {
            StageRelease release = Json.read(body, StageRelease.class);
            ownership.dispatcher(release.service()).release(release.handles());
            http.response().end();
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            answerProblem(http, malformed);
        }
    }

    private void suspect(HttpServerRequest http, byte[] body) {
        try {
            suspects.take(Json.read(body, SuspectReport.class));
            http.response().end();
        } catch (ServingException malformed) {
            Events.warn(LOG, "peer_message_unreadable", "failure", malformed.getMessage());
            answerProblem(http, malformed);
        }
    }

    private static void answerProblem(HttpServerRequest http, ServingException failure) {
        answer(http, Json.write(StageProblem.of(failure)), STATUS_UNAVAILABLE);
    }

    private static void answer(HttpServerRequest http, byte[] body, int status) {
        HttpServerResponse response = http.response();
        if (!response.closed()) {
            response.setStatusCode(status).end(Buffer.buffer(body));
        }
    }
}
