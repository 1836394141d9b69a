package org.pimentovale.kernel.batch;

import java.util.function.ToDoubleFunction;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingRoute;

/**
 * Estimates when the stages of one request should start and how much time their downstream stages need.
 *
 * <p>A stage that is not on the critical path is delayed, because early results would only wait for the other branches
 * and occupy result capacity that other requests need. The time of the downstream stages is subtracted from a stage's
 * due time, so that requests that cannot finish in time are detected in their first queue instead of their last. Both
 * matter during bursts. Holds no state of its own, but reads the request's {@link StageGraph}. Not thread safe.
 */
public final class StageTiming {
    private static final double QUEUEING_FACTOR = 1.4;
    private static final double START_MARGIN_MS = 150;
    // Less than this crosses zones sooner than an endpoint of another zone becomes free.
    private static final long MIN_BYTES_WORTH_A_WAIT = 1_000_000;

    private final ServingRoute route;
    private final StageGraph graph;
    private final ToDoubleFunction<String> fullCallMs;

    /**
     * Creates the timing of a request.
     *
     * @param route the request's route
     * @param graph the progress of the request's stages
     * @param fullCallMs returns the duration of a full call to a service, in milliseconds
     */
    public StageTiming(ServingRoute route, StageGraph graph, ToDoubleFunction<String> fullCallMs) {
        this.route = route;
        this.graph = graph;
        this.fullCallMs = fullCallMs;
    }

    /**
     * Returns the estimated time of the stages downstream of a stage, including their queueing.
     *
     * @param stage a stage of the request's route
     * @return the time of the longest downstream chain in milliseconds, zero if there is none
     */
    public double downstreamMs(RouteStage stage) {
        double longest = 0;
        for (RouteStage successor : route.stages()) {
            if (successor.after().contains(stage.number())) {
                longest = Math.max(longest, estimatedMs(successor) + downstreamMs(successor));
            }
        }
        return longest;
    }

    /**
     * Returns how long the start of a stage may be delayed without delaying the request.
     *
     * @param stage a stage that may start
     * @return the delay in milliseconds, zero for stages on the critical path
     */
    public double startDelayMs(RouteStage stage) {
        double longest = 0;
        for (RouteStage other : route.stages()) {
            if (!graph.finished(other)) {
                longest = Math.max(longest, estimatedMs(other) + downstreamMs(other));
            }
        }
        return Math.max(0, longest - estimatedMs(stage) - downstreamMs(stage) - START_MARGIN_MS);
    }

    /**
     * Tells whether a stage may wait for an endpoint in the zone of its inputs. Waiting costs every request time and
     * leaves endpoints of other zones idle, also when they are nearly busy, so it is limited to inputs whose transfer
     * costs more.
     *
     * @param stage a stage that may start
     * @return whether the bytes that would cross zones are worth a wait
     */
    public boolean worthWaitingForZone(RouteStage stage) {
        return graph.localBytes(stage) >= MIN_BYTES_WORTH_A_WAIT;
    }

    /**
     * Returns the estimated time of the stages that have not started, including their queueing. Stages that are running
     * count as if they ended now.
     *
     * @return the time of the longest chain in milliseconds, zero if all stages have started
     */
    public double unstartedMs() {
        double longest = 0;
        for (RouteStage stage : route.stages()) {
            if (!graph.finished(stage)) {
                double ownMs = graph.started(stage) ? 0 : estimatedMs(stage);
                longest = Math.max(longest, ownMs + downstreamMs(stage));
            }
        }
        return longest;
    }

    private double estimatedMs(RouteStage stage) {
        return graph.pieceCount(stage) == 0 ? 0 : QUEUEING_FACTOR * fullCallMs.applyAsDouble(stage.service());
    }
}
