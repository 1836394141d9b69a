package org.pimentovale.kernel.batch;

import java.util.function.ToDoubleFunction;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingRoute;

/**
 * When the stages of one request should start, and how much time must be left behind each.
 *
 * <p>It answers bursts. A stage off the longest chain starts late, since its results would only wait for the others and
 * take the room that other requests need; and the time that later stages will take is counted against a stage's due
 * time, so that work which cannot be in time is known at its first queue and not at its last. Immutable and thread
 * safe.
 */
public final class StageTiming {
    private static final double QUEUEING_FACTOR = 1.4;
    private static final double START_MARGIN_MS = 150;

    private final ServingRoute route;
    private final StageGraph graph;
    private final ToDoubleFunction<String> fullCallMs;

    /**
     * Creates the timing of a request.
     *
     * @param route the request's route
     * @param graph the request's stages
     * @param fullCallMs the time that a full call takes, by service, in milliseconds
     */
    public StageTiming(ServingRoute route, StageGraph graph, ToDoubleFunction<String> fullCallMs) {
        this.route = route;
        this.graph = graph;
        this.fullCallMs = fullCallMs;
    }

    /**
     * Returns the time that the stages behind a stage will take, with their queues.
     *
     * @param stage the stage
     * @return milliseconds, zero where no stage follows
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
     * Returns how long the start of a stage may be put off without making the request later.
     *
     * @param stage a stage that may start
     * @return milliseconds, zero for the stages of the longest chain
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

    private double estimatedMs(RouteStage stage) {
        return graph.pieceCount(stage) == 0 ? 0 : QUEUEING_FACTOR * fullCallMs.applyAsDouble(stage.service());
    }
}
