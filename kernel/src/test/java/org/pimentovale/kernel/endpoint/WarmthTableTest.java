package org.pimentovale.kernel.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WarmthTableTest {
    private static final String ADDRESS = "127.0.0.1:9000";
    private static final WarmEndpoint OLD = new WarmEndpoint(ADDRESS, "first");
    private static final WarmEndpoint CURRENT = new WarmEndpoint(ADDRESS, "second");
    private static final int WARM_AFTER_REQUESTS = 6;
    private static final long ANSWERED_MS = 30;

    private final WarmthTable table = new WarmthTable();

    @BeforeEach
    void seeTheOldIncarnation() {
        table.retain(Map.of(ADDRESS, new WarmupRule(2, WARM_AFTER_REQUESTS, 0)));
        observe(OLD, 0);
    }

    private void observe(WarmEndpoint endpoint, long nowMs) {
        table.observe(ADDRESS, new LoadReport(endpoint.incarnation(), 0, Optional.empty()), nowMs, 0, nowMs);
    }

    private void answer(WarmEndpoint endpoint, int count) {
        for (int answered = 0; answered < count; answered++) {
            table.answered(endpoint, ANSWERED_MS);
        }
    }

    @Nested
    class AColdEndpoint {
        @Test
        void isWarmAfterTheAnswersThatItsRuleNames() {
            answer(OLD, WARM_AFTER_REQUESTS - 1);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.COLD);
            assertThat(table.answered(OLD, ANSWERED_MS)).isEqualTo(Optional.of(OLD));
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.WARM);
        }
    }

    @Nested
    class AnEndpointThatCameBack {
        @BeforeEach
        void comeBack() {
            answer(OLD, WARM_AFTER_REQUESTS);
            observe(CURRENT, 20);
        }

        @Test
        void isNotWarmedByAnswersOfItsEarlierIncarnation() {
            answer(OLD, WARM_AFTER_REQUESTS);
            answer(CURRENT, WARM_AFTER_REQUESTS - 1);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.COLD);
        }

        @Test
        void isWarmAfterItsOwnAnswers() {
            answer(CURRENT, WARM_AFTER_REQUESTS);
            assertThat(table.warmth(ADDRESS)).isEqualTo(Warmth.WARM);
        }
    }
}
