package org.pimentovale.gateway.stage;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.batch.StageTicket;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Has the stages of this gateway's requests done by the owners of their services.
 *
 * <p>A piece may be made twice, so work whose owner gives no answer is handed to the next owner. Invariant: the owner
 * of a cancelled stage drops what still waits. Not thread safe; used on one event loop.
 */
public final class StageClient {
    private static final Logger LOG = Logger.getLogger(StageClient.class);
    private static final int RELEASE_TIMEOUT_MS = 500;
    private static final int ANSWER_GRACE_MS = 50;

    private final GatewayTables tables;
    private final TimedHttpClient client;
    private final StageOwnership ownership;
    private final Set<StageRun> runs = new HashSet<>();

    /** A stage that is being done. Not thread safe; used on one event loop. */
    public final class StageRun {
        private final StageWork work;
        private final long startedMs;
        private final Promise<List<String>> results = Promise.promise();
        private Optional<String> owner = Optional.empty();
        private Promise<HttpResponse> remoteCall = Promise.promise();
        private Runnable cancelLocally = () -> {};

        private StageRun(StageWork work) {
            this.work = work;
            this.startedMs = tables.nowMs();
        }

        /**
         * Returns the results.
         *
         * @return one handle a piece; fails with a typed failure
         */
        public Future<List<String>> results() {
            return results.future();
        }

        /** Ends the run; its results are not wanted any more. */
        public void cancel() {
            if (results.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "cancelled"))) {
                remoteCall.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "cancelled"));
                cancelLocally.run();
            }
        }
    }

    /**
     * Creates a client.
     *
     * @param tables what the gateway knows
     * @param client makes calls to peers
     * @param ownership the dispatchers of this gateway
     */
    public StageClient(GatewayTables tables, TimedHttpClient client, StageOwnership ownership) {
        this.tables = tables;
        this.client = client;
        this.ownership = ownership;
    }

    /**
     * Has a stage done.
     *
     * @param work the stage
     * @return the run
     */
    public StageRun run(StageWork work) {
        StageRun run = new StageRun(work);
        runs.add(run);
        run.results().onComplete(ended -> runs.remove(run));
        submit(run);
        return run;
    }

    private void submit(StageRun run) {
        long elapsedMs = tables.nowMs() - run.startedMs;
        StageWork work = withLess(run.work, elapsedMs);
        if (work.leftMs() <= 0) {
            run.results.tryFail(ServingException.notRun(ErrorCode.DEADLINE_UNREACHABLE, "no owner in time"));
            return;
        }
        Optional<InstanceRecord> owner = tables.peers().owner(work.service());
        run.owner = owner.map(InstanceRecord::name);
        if (owner.isEmpty()) {
            submitLocally(run, work);
        } else {
            submitTo(owner.get(), run, work);
        }
    }

    private void submitLocally(StageRun run, StageWork work) {
        StageDispatcher dispatcher = ownership.dispatcher(work.service());
        StageTicket ticket = new StageTicket(work, tables.nowMs());
        run.cancelLocally = () -> dispatcher.cancel(ticket);
        dispatcher.submit(ticket).onComplete(result -> {
            if (result.succeeded()) {
                run.results.tryComplete(result.result());
            } else if (ServingException.of(result.cause()).code() == ErrorCode.INSTANCE_DRAINING
                    && tables.peers().leaving()) {
                submit(run);
            } else {
                run.results.tryFail(result.cause());
            }
        });
    }

    private void submitTo(InstanceRecord owner, StageRun run, StageWork work) {
        run.remoteCall = Promise.promise();
        HttpCall exchange = new HttpCall(
                owner.address(),
                HttpMethod.POST,
                PeerPaths.STAGE_WORK,
                Optional.of(Buffer.buffer(Json.write(work))),
                (int) work.leftMs() + ANSWER_GRACE_MS);
        client.call(exchange, MultiMap.caseInsensitiveMultiMap(), run.remoteCall)
                .onSuccess(answer -> takeAnswer(owner, run, answer))
                .onFailure(failure -> ownerLost(owner, run, failure));
    }

    private void takeAnswer(InstanceRecord owner, StageRun run, HttpResponse answer) {
        if (answer.status() == 200) {
            run.results.tryComplete(
                    Json.read(answer.body().getBytes(), StageAnswer.class).handles());
            return;
        }
        StageProblem problem = Json.read(answer.body().getBytes(), StageProblem.class);
        if (problem.code() == ErrorCode.INSTANCE_DRAINING) {
            ownerLost(owner, run, problem.toFailure());
        } else {
            run.results.tryFail(problem.toFailure());
        }
    }

    private void ownerLost(InstanceRecord owner, StageRun run, Throwable failure) {
        if (run.results.future().isComplete()) {
            return;
        }
        tables.peers().recordSilence(owner.name(), tables.nowMs());
        Events.warn(
                LOG,
                "stage_owner_lost",
                "request",
                run.work.requestId(),
                "service",
                run.work.service(),
                "peer",
                owner.name(),
                "failure",
                failure.getMessage(),
                "outcome",
                "handed to the next owner");
        submit(run);
    }

    /**
     * Hands the work of a gateway that gives no answer to the next owners.
     *
     * @param peer the gateway's name
     */
    public void peerLost(String peer) {
        List.copyOf(runs).stream()
                .filter(run -> run.owner.filter(peer::equals).isPresent())
                .forEach(run -> run.remoteCall.tryFail(
                        ServingException.unknown(ErrorCode.PEER_UNAVAILABLE, peer + " gives no answer")));
    }

    /**
     * Releases results.
     *
     * @param service the service that made them
     * @param handles the results
     */
    public void release(String service, List<String> handles) {
        Optional<InstanceRecord> owner = tables.peers().owner(service);
        if (owner.isEmpty()) {
            ownership.dispatcher(service).release(handles);
            return;
        }
        HttpCall exchange = new HttpCall(
                owner.get().address(),
                HttpMethod.POST,
                PeerPaths.STAGE_RELEASE,
                Optional.of(Buffer.buffer(Json.write(new StageRelease(service, handles)))),
                RELEASE_TIMEOUT_MS);
        client.call(exchange, MultiMap.caseInsensitiveMultiMap())
                .onFailure(failure -> Events.info(
                        LOG, "release_not_told", "peer", owner.get().name(), "failure", failure.getMessage()));
    }

    private static StageWork withLess(StageWork work, long elapsedMs) {
        return new StageWork(
                work.requestId(),
                work.service(),
                work.stage(),
                work.pieces(),
                work.sourceKey(),
                work.inputs(),
                work.resultBytes(),
                Math.max(0, work.goalLeftMs() - elapsedMs),
                work.leftMs() - elapsedMs,
                work.priority(),
                work.zone());
    }
}
