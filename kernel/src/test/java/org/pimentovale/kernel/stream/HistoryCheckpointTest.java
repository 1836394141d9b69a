package org.pimentovale.kernel.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.kernel.directory.EndpointDirectory;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.history.StoreRevision;

class HistoryCheckpointTest {
    private static final StoreRevision REVISION = new StoreRevision(1, 7);
    private static final HistoryCheckpoint CHECKPOINT =
            new HistoryCheckpoint(REVISION, REVISION, 40_000, Map.of("engines", List.of("v1")));

    private static EndpointRecord endpoint(String service, String build) {
        return new EndpointRecord("e", service, "10.0.0.1:80", "north", 1, false, 0, 0, build);
    }

    @Nested
    class AChangeSinceTheCheckpoint {
        @Test
        void isExplainedIfItsBuildWasListedBefore() {
            assertThat(CHECKPOINT.explains(List.of())).isTrue();
            assertThat(CHECKPOINT.explains(List.of(endpoint("engines", "v1")))).isTrue();
        }

        @Test
        void isNotExplainedIfItsBuildOrServiceIsNew() {
            assertThat(CHECKPOINT.explains(List.of(endpoint("engines", "v1"), endpoint("engines", "v2"))))
                    .isFalse();
            assertThat(CHECKPOINT.explains(List.of(endpoint("desk", "v1")))).isFalse();
        }
    }

    @Nested
    class ABuildHistory {
        private final BuildHistory history = new BuildHistory();
        private final EndpointDirectory directory = new EndpointDirectory();

        @Test
        void knowsTheTimeBeforeItsFirstObservation() {
            directory.put(endpoint("engines", "v2"), 100);
            history.observe(directory.allEndpoints(), 100);
            history.addEarlier(CHECKPOINT, 200);

            assertThat(history.knownMs(300)).isEqualTo(40_200);
            assertThat(history.observedMs(300)).isEqualTo(200);
            assertThat(history.recentBuilds("engines", 200)).containsExactly("v1");
            assertThat(history.recentBuilds(100)).containsExactly("engines", history.recentBuilds("engines", 100));
            assertThat(history.recentBuilds("engines", 100)).containsExactly("v1", "v2");
        }
    }
}
