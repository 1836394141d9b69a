package org.pimentovale.kernel.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.plugin.PluginRegistry;

class PredictedFinishPolicyTest {
    private final RoutingPolicy policy = new PluginRegistry<>(RoutingPolicy.class).get("predicted-finish");

    private static Candidate candidate(
            String address, boolean sameZone, int total, double baseMs, boolean cached, boolean cold) {
        return new Candidate(address, sameZone, 0, total, 10, baseMs, cached, cold);
    }

    private String choose(long slackMs, Candidate... candidates) {
        return policy.choose(List.of(candidates), 0, slackMs, new SplittableRandom(7))
                .address();
    }

    @Nested
    class Prefers {
        @Test
        void theLessLoaded() {
            assertThat(choose(
                            0,
                            candidate("busy", true, 9, 100, false, false),
                            candidate("idle", true, 1, 100, false, false)))
                    .isEqualTo("idle");
        }

        @Test
        void theOneWithTheCachedPrefixUnlessItIsOverloaded() {
            Candidate plain = candidate("plain", true, 2, 100, false, false);
            assertThat(choose(0, plain, candidate("cached", true, 2, 100, true, false)))
                    .isEqualTo("cached");
            assertThat(choose(0, plain, candidate("cached", true, 10, 100, true, false)))
                    .isEqualTo("plain");
        }

        @Test
        void theSameZoneForShortCalls() {
            assertThat(choose(
                            0,
                            candidate("far", false, 0, 4, false, false),
                            candidate("near", true, 0, 4, false, false)))
                    .isEqualTo("near");
        }

        @Test
        void aColdOneOnlyWithSlack() {
            Candidate warm = candidate("warm", true, 0, 100, false, false);
            Candidate cold = candidate("cold", true, 0, 100, false, true);
            assertThat(choose(0, warm, cold)).isEqualTo("warm");
            assertThat(choose(10_000, warm, cold)).isEqualTo("cold");
        }
    }
}
