package org.pimentovale.kernel.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.WeightedService;

class StageTimingTest {
    private static final RouteStage PICTURES = new RouteStage(0, "catalogue", List.of(), 3_000_000);
    private static final RouteStage QUERY = new RouteStage(1, "catalogue", List.of(), 8_000);
    private static final RouteStage RETRIEVE = new RouteStage(2, "desk", List.of(1), 60_000);
    private static final RouteStage RERANK = new RouteStage(3, "tickets", List.of(2), 6_000);
    private static final double FULL_CALL_MS = 280;

    private static ServingRoute route(RouteStage... stages) {
        return new ServingRoute(
                "plan",
                "host",
                "/plan/",
                RequestKind.STREAMING,
                8_000,
                1_700,
                1,
                List.of(new WeightedService("engines", 1)),
                1,
                List.of(stages),
                false,
                false);
    }

    private static StageTiming timing(ServingRoute route, StageGraph graph) {
        return new StageTiming(route, graph, service -> FULL_CALL_MS);
    }

    @Nested
    class AWaitForAZone {
        private final ServingRoute route = route(PICTURES, QUERY, RETRIEVE, RERANK);

        private boolean worthWaiting(RouteStage stage, List<Integer> pieces) {
            return timing(route, new StageGraph(route, pieces)).worthWaitingForZone(stage);
        }

        @Test
        void isWorthItForLargeResults() {
            assertThat(worthWaiting(PICTURES, List.of(2, 1, 6, 16))).isTrue();
        }

        @Test
        void isNotWorthItForSmallResultsOrInputs() {
            assertThat(worthWaiting(QUERY, List.of(2, 1, 6, 16))).isFalse();
            assertThat(worthWaiting(RETRIEVE, List.of(2, 1, 6, 16))).isFalse();
            assertThat(worthWaiting(RERANK, List.of(2, 1, 6, 1))).isFalse();
        }

        @Test
        void isWorthItIfEachOfManyPiecesGetsTheInputs() {
            assertThat(worthWaiting(RERANK, List.of(2, 1, 6, 16))).isTrue();
        }
    }

    @Nested
    class LongAndShortBranch {
        private final ServingRoute route = route(PICTURES, QUERY, RETRIEVE, RERANK);
        private final StageGraph graph = new StageGraph(route, List.of(2, 1, 6, 16));
        private final StageTiming timing = timing(route, graph);

        @Test
        void startsLongestChainImmediately() {
            assertThat(timing.startDelayMs(QUERY)).isEqualTo(0.0);
        }

        @Test
        void delaysShortBranchSoThatBothEndTogether() {
            double chainMs = 3 * 1.4 * FULL_CALL_MS;

            assertThat(timing.startDelayMs(PICTURES)).isWithin(1).of(chainMs - 1.4 * FULL_CALL_MS - 150);
        }

        @Test
        void startsShortBranchImmediatelyWhenChainIsNearlyFinished() {
            graph.finish(QUERY, List.of("q"));
            graph.finish(RETRIEVE, List.of("d"));

            assertThat(timing.startDelayMs(PICTURES)).isEqualTo(0.0);
        }

        @Test
        void includesQueueingTimeOfDownstreamStages() {
            assertThat(timing.downstreamMs(RERANK)).isEqualTo(0.0);
            assertThat(timing.downstreamMs(QUERY)).isWithin(1).of(2 * 1.4 * FULL_CALL_MS);
        }
    }

    @Nested
    class SkippedStages {
        @Test
        void contributeNoTime() {
            ServingRoute route = route(PICTURES, QUERY, RETRIEVE, RERANK);
            StageTiming timing = timing(route, new StageGraph(route, List.of(2, 1, 0, 0)));

            assertThat(timing.downstreamMs(QUERY)).isEqualTo(0.0);
            assertThat(timing.startDelayMs(PICTURES)).isEqualTo(0.0);
        }
    }
}
