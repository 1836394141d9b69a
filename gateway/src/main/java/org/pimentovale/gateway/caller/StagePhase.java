package org.pimentovale.gateway.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.stage.StageClient;
import org.pimentovale.kernel.batch.StageGraph;
import org.pimentovale.kernel.batch.StageTiming;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.kernel.serving.ServingWorkspace;
import org.pimentovale.log.Events;

/**
 * Runs the stages of one request in the order of their dependencies.
 *
 * <p>Invariant: a result is released once no stage needs it, and all results at the end of the phase. Not thread safe;
 * used on one event loop.
 */
final class StagePhase {
    private static final Logger LOG = Logger.getLogger(StagePhase.class);

    private final Vertx vertx;
    private final GatewayMetrics metrics;
    private final CallerRequest request;
    private final GatewayTables tables;
    private final StageClient stages;
    private final UnaryOperator<String> addressOf;
    private final Optional<String> preferredZone;
    private final StageGraph graph;
    private final StageTiming timing;
    private final List<StageClient.StageRun> running = new ArrayList<>();
    private final Promise<List<String>> inputs = Promise.promise();

    StagePhase(RequestServices services, CallerRequest request, GatewayTables tables, Optional<String> preferredZone) {
        this.vertx = services.vertx();
        this.metrics = services.metrics();
        this.request = request;
        this.tables = tables;
        this.stages = services.stages();
        this.addressOf = services.resultAddress();
        this.preferredZone = preferredZone;
        this.graph = new StageGraph(request.routed().route(), request.attempt().pieceCounts());
        this.timing = new StageTiming(request.routed().route(), graph, service -> fullCallDurationMs(tables, service));
    }

    /**
     * Starts the stages.
     *
     * @return the handles of the results that are inputs of the request itself; fails with the first failed stage
     */
    Future<List<String>> start() {
        startReadyStages();
        return inputs.future();
    }

    private void startReadyStages() {
        if (graph.finished()) {
            inputs.tryComplete(graph.requestInputs());
            return;
        }
        graph.startReady().forEach(this::scheduleStart);
    }

    private void scheduleStart(RouteStage stage) {
        long delayMs = (long) timing.startDelayMs(stage);
        if (delayMs <= 0) {
            startStage(stage);
        } else {
            vertx.setTimer(delayMs, fired -> startStage(stage));
        }
    }

    private void startStage(RouteStage stage) {
        if (inputs.future().isComplete()) {
            return;
        }
        long nowMs = tables.nowMs();
        long downstreamMs = (long) timing.downstreamMs(stage)
                + (long) tables.firstEventEstimates()
                        .expectedMs(request.routed().route().name());
        StageWork work = new StageWork(
                request.attempt().identifier(),
                stage.service(),
                stage.number(),
                graph.pieceCount(stage),
                stage.after().isEmpty() ? request.attempt().pieceKey() : Optional.empty(),
                graph.inputs(stage),
                stage.resultBytes(),
                Math.max(0, request.goalTimeMs() - nowMs - downstreamMs),
                Math.max(1, request.deadlineMs() - nowMs - downstreamMs),
                request.routed().priority(),
                preferredZoneOf(stage),
                request.routed().workspace().map(ServingWorkspace::name),
                Optional.of(request.routed().route().name()));
        StageClient.StageRun run = stages.run(work);
        running.add(run);
        run.results().onComplete(result -> {
            running.remove(run);
            if (result.succeeded()) {
                graph.finish(stage, result.result());
                metrics.recordStage(stage.service(), tables.nowMs() - nowMs);
                Events.info(
                        LOG,
                        "stage_done",
                        "request",
                        request.attempt().identifier(),
                        "stage",
                        stage.number(),
                        "service",
                        stage.service(),
                        "pieces",
                        work.pieces(),
                        "elapsed_ms",
                        tables.nowMs() - nowMs);
                releaseResults(inputs.future().isComplete());
                startReadyStages();
            } else if (inputs.tryFail(result.cause())) {
                end();
            }
        });
    }

    /** Prefers the zone that holds most of a stage's inputs, or the request's zone for a stage without inputs. */
    private Optional<String> preferredZoneOf(RouteStage stage) {
        if (!timing.worthWaitingForZone(stage)) {
            return Optional.empty();
        }
        List<String> inputHandles = graph.inputs(stage);
        return inputHandles.isEmpty()
                ? preferredZone
                : tables.endpoints()
                        .mostCommonZone(inputHandles.stream().map(addressOf).toList())
                        .or(() -> preferredZone);
    }

    private static double fullCallDurationMs(GatewayTables tables, String service) {
        return tables.configuration()
                .flatMap(configuration -> configuration.service(service))
                .flatMap(ServingService::pieces)
                .map(limits -> limits.durationMs(limits.maximumPiecesPerCall()))
                .orElse(0.0);
    }

    /** Returns the estimated time of the stages that have not started, in milliseconds. */
    long unstartedMs() {
        return (long) timing.unstartedMs();
    }

    /** Ends the phase: cancels the running stages and releases all results. */
    void end() {
        inputs.tryFail(new IllegalStateException("stage phase ended"));
        List.copyOf(running).forEach(StageClient.StageRun::cancel);
        releaseResults(true);
    }

    private void releaseResults(boolean all) {
        graph.takeReleasable(all).forEach((stage, handles) -> stages.release(stage.service(), handles));
    }
}
