package org.pimentovale.kernel.batch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.serving.RequestKind;
import org.pimentovale.kernel.serving.RouteStage;
import org.pimentovale.kernel.serving.ServingRoute;
import org.pimentovale.kernel.serving.WeightedService;

class StageGraphTest {
    private static final RouteStage PICTURES = new RouteStage(0, "catalogue", List.of(), 3_000_000);
    private static final RouteStage QUERY = new RouteStage(1, "catalogue", List.of(), 8_000);
    private static final RouteStage RETRIEVE = new RouteStage(2, "desk", List.of(1), 60_000);
    private static final RouteStage RERANK = new RouteStage(3, "tickets", List.of(2), 6_000);

    private static ServingRoute route(RouteStage... stages) {
        return new ServingRoute(
                "chat",
                "host",
                "/chat/",
                RequestKind.STREAMING,
                15_000,
                1_400,
                2,
                List.of(new WeightedService("engines", 1)),
                1,
                List.of(stages),
                false,
                false);
    }

    private final StageGraph graph = new StageGraph(route(PICTURES, QUERY, RETRIEVE, RERANK), List.of(2, 1, 2, 3));

    @Nested
    class Order {
        @Test
        void startsEachStageAfterItsPredecessorsHaveFinished() {
            assertThat(graph.startReady()).containsExactly(PICTURES, QUERY);
            assertThat(graph.startReady()).isEmpty();

            graph.finish(QUERY, List.of("q"));

            assertThat(graph.startReady()).containsExactly(RETRIEVE);
            assertThat(graph.inputs(RETRIEVE)).containsExactly("q");
        }

        @Test
        void passesResultsOfLastStagesToRequest() {
            graph.finish(PICTURES, List.of("p0", "p1"));
            graph.finish(QUERY, List.of("q"));
            graph.finish(RETRIEVE, List.of("d0", "d1"));
            graph.finish(RERANK, List.of("k0", "k1", "k2"));

            assertThat(graph.finished()).isTrue();
            assertThat(graph.requestInputs())
                    .containsExactly("p0", "p1", "k0", "k1", "k2")
                    .inOrder();
        }
    }

    @Nested
    class StagesWithoutPieces {
        @Test
        void countAsFinished() {
            StageGraph withoutPieces = new StageGraph(route(PICTURES), List.of(0));

            assertThat(withoutPieces.startReady()).isEmpty();
            assertThat(withoutPieces.finished()).isTrue();
            assertThat(withoutPieces.requestInputs()).isEmpty();
        }
    }

    @Nested
    class Release {
        @Test
        void returnsResultsOnceAfterTheirLastUse() {
            graph.finish(QUERY, List.of("q"));
            assertThat(graph.takeReleasable(false)).isEmpty();

            graph.finish(RETRIEVE, List.of("d0", "d1"));

            assertThat(graph.takeReleasable(false)).isEqualTo(Map.of(QUERY, List.of("q")));
            assertThat(graph.takeReleasable(false)).isEmpty();
        }

        @Test
        void returnsAllResultsWhenRequestIsAbandoned() {
            graph.finish(PICTURES, List.of("p0", "p1"));
            graph.finish(QUERY, List.of("q"));

            assertThat(graph.takeReleasable(true).keySet()).containsExactly(PICTURES, QUERY);
        }
    }
}
