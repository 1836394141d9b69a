package org.pimentovale.kernel.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WarmthTableTest {
    private static final String ADDRESS = "127.0.0.1:9000";
    private static final EndpointIncarnation FIRST_INCARNATION = new EndpointIncarnation(ADDRESS, "first");
    private static final EndpointIncarnation SECOND_INCARNATION = new EndpointIncarnation(ADDRESS, "second");
    private static final int WARM_AFTER_REQUESTS = 6;
    private static final long RESPONSE_MS = 30;

    private final WarmthTable table = new WarmthTable();

    @BeforeEach
    void observeFirstIncarnation() {
        table.retain(Map.of(ADDRESS, new WarmupRule(2, WARM_AFTER_REQUESTS, 0)));
        observe(FIRST_INCARNATION, 0);
    }

    private void observe(EndpointIncarnation endpoint, long nowMs) {
        table.observe(ADDRESS, new LoadReport(endpoint.incarnation(), 0, Optional.empty()), nowMs, 0, nowMs);
    }

    private void recordResponses(EndpointIncarnation endpoint, int count) {
        for (int response = 0; response < count; response++) {
            table.recordResponse(endpoint, RESPONSE_MS);
        }
    }

    @Nested
    class ColdEndpoint {
        @Test
        void becomesWarmAfterTheConfiguredAnswers() {
            recordResponses(FIRST_INCARNATION, WARM_AFTER_REQUESTS - 1);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.COLD);
            assertThat(table.recordResponse(FIRST_INCARNATION, RESPONSE_MS)).isEqualTo(Optional.of(FIRST_INCARNATION));
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.WARM);
        }
    }

    @Nested
    class RestartedEndpoint {
        @BeforeEach
        void restart() {
            recordResponses(FIRST_INCARNATION, WARM_AFTER_REQUESTS);
            observe(SECOND_INCARNATION, 20);
        }

        @Test
        void ignoresAnswersOfItsEarlierIncarnation() {
            recordResponses(FIRST_INCARNATION, WARM_AFTER_REQUESTS);
            recordResponses(SECOND_INCARNATION, WARM_AFTER_REQUESTS - 1);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.COLD);
        }

        @Test
        void becomesWarmAfterItsOwnAnswers() {
            recordResponses(SECOND_INCARNATION, WARM_AFTER_REQUESTS);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.WARM);
        }
    }
}
