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
 * Submits the stages of this gateway's requests to the owners of their services.
 *
 * <p>Processing a piece twice is harmless, so work whose owner does not respond is resubmitted to the next owner.
 * Invariant: the owner of a cancelled stage drops its queued pieces. Not thread safe; used on one event loop.
 */
public final class StageClient {
    private static final Logger LOG = Logger.getLogger(StageClient.class);
    private static final int RELEASE_TIMEOUT_MS = 500;
    private static final int RESPONSE_GRACE_MS = 50;

    private final GatewayTables tables;
    private final TimedHttpClient client;
    private final StageDispatchers dispatchers;
    private final Set<StageRun> runs = new HashSet<>();

    /** A submitted stage. Not thread safe; used on one event loop. */
    public final class StageRun {
        private final StageWork work;
        private final long startedAtMs;
        private final Promise<List<String>> results = Promise.promise();
        private Optional<String> owner = Optional.empty();
        private Promise<HttpResponse> remoteCall = Promise.promise();
        private Runnable cancelLocalTicket = () -> {};

        private StageRun(StageWork work) {
            this.work = work;
            this.startedAtMs = tables.nowMs();
        }

        /**
         * Returns the results.
         *
         * @return one handle per piece; fails with a {@link ServingException}
         */
        public Future<List<String>> results() {
            return results.future();
        }

        /** Cancels the run because its results are no longer needed. */
        public void cancel() {
            if (results.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "cancelled"))) {
                remoteCall.tryFail(ServingException.notRun(ErrorCode.CALLER_LEFT, "cancelled"));
                cancelLocalTicket.run();
            }
        }
    }

    /**
     * Creates a client.
     *
     * @param tables provides the time and the peers
     * @param client sends requests to peers
     * @param dispatchers the dispatchers of the services that this gateway owns
     */
    public StageClient(GatewayTables tables, TimedHttpClient client, StageDispatchers dispatchers) {
        this.tables = tables;
        this.client = client;
        this.dispatchers = dispatchers;
    }

    /**
     * Submits a stage.
     *
     * @param work the stage with its inputs and times
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
        long elapsedMs = tables.nowMs() - run.startedAtMs;
        StageWork work = run.work.after(elapsedMs);
        if (work.leftMs() <= 0) {
            run.results.tryFail(ServingException.notRun(
                    ErrorCode.DEADLINE_UNREACHABLE, "deadline passed before any owner responded"));
            return;
        }
        Optional<InstanceRecord> owner = tables.peers().owner(work.service());
        run.owner = owner.map(InstanceRecord::name);
        if (owner.isEmpty()) {
            submitLocally(run, work);
        } else {
            submitToPeer(owner.get(), run, work);
        }
    }

    private void submitLocally(StageRun run, StageWork work) {
        StageDispatcher dispatcher = dispatchers.dispatcher(work.service());
        StageTicket ticket = new StageTicket(work, tables.nowMs());
        run.cancelLocalTicket = () -> dispatcher.cancel(ticket);
        dispatcher.submit(ticket).onComplete(result -> {
            if (result.succeeded()) {
                run.results.tryComplete(result.result());
            } else if (ServingException.of(result.cause()).code() == ErrorCode.INSTANCE_DRAINING
                    && tables.peers().owner(work.service()).isPresent()) {
                submit(run);
            } else {
                run.results.tryFail(result.cause());
            }
        });
    }

    private void submitToPeer(InstanceRecord owner, StageRun run, StageWork work) {
        run.remoteCall = Promise.promise();
        HttpCall call = new HttpCall(
                owner.address(),
                HttpMethod.POST,
                PeerPaths.STAGE_WORK,
                Optional.of(Buffer.buffer(Json.write(work))),
                (int) work.leftMs() + RESPONSE_GRACE_MS);
        client.call(call, MultiMap.caseInsensitiveMultiMap(), run.remoteCall)
                .onSuccess(response -> handleResponse(owner, run, response))
                .onFailure(failure -> resubmit(owner, run, failure));
    }

    private void handleResponse(InstanceRecord owner, StageRun run, HttpResponse response) {
        if (response.status() == 200) {
            run.results.tryComplete(
                    Json.read(response.body().getBytes(), StageResponse.class).handles());
            return;
        }
        StageProblem problem = Json.read(response.body().getBytes(), StageProblem.class);
        if (problem.code() == ErrorCode.INSTANCE_DRAINING) {
            resubmit(owner, run, problem.toFailure());
        } else {
            run.results.tryFail(problem.toFailure());
        }
    }

    private void resubmit(InstanceRecord owner, StageRun run, Throwable failure) {
        if (run.results.future().isComplete()) {
            return;
        }
        tables.peers().markUnresponsive(owner.name(), tables.nowMs());
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
                "resubmitted to the next owner");
        submit(run);
    }

    /**
     * Resubmits the stages of a gateway that does not respond to the next owners.
     *
     * @param peer the name of the unresponsive gateway
     */
    public void resubmitFrom(String peer) {
        List.copyOf(runs).stream()
                .filter(run -> run.owner.filter(peer::equals).isPresent())
                .forEach(run -> run.remoteCall.tryFail(
                        ServingException.unknown(ErrorCode.PEER_UNAVAILABLE, peer + " does not respond")));
    }

    /**
     * Tells whether stages of this gateway wait or run at an owner.
     *
     * @param peer the name of the owner
     * @return whether at least one does
     */
    public boolean hasWorkAt(String peer) {
        return runs.stream().anyMatch(run -> run.owner.filter(peer::equals).isPresent());
    }

    /**
     * Releases results. The release is lost if the owner of the service does not respond.
     *
     * @param service the service that created the results
     * @param handles the handles of the results
     */
    public void release(String service, List<String> handles) {
        Optional<InstanceRecord> owner = tables.peers().owner(service);
        if (owner.isEmpty()) {
            dispatchers.dispatcher(service).release(handles);
            return;
        }
        HttpCall call = new HttpCall(
                owner.get().address(),
                HttpMethod.POST,
                PeerPaths.STAGE_RELEASE,
                Optional.of(Buffer.buffer(Json.write(new StageRelease(service, handles)))),
                RELEASE_TIMEOUT_MS);
        client.call(call, MultiMap.caseInsensitiveMultiMap())
                .onFailure(failure -> Events.info(
                        LOG, "release_forward_failed", "peer", owner.get().name(), "failure", failure.getMessage()));
    }
}
