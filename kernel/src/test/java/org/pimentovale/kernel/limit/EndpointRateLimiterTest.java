package org.pimentovale.kernel.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Verifies the rate at which permits for endpoints with a limit are granted. */
class EndpointRateLimiterTest {
    private static final long WINDOW_MS = 4_000;

    private final EndpointRateLimiter limiter = new EndpointRateLimiter();

    private int grantedIn(long fromMs, long durationMs, double requestsPerSecond) {
        int granted = 0;
        for (long nowMs = fromMs; nowMs < fromMs + durationMs; nowMs++) {
            if (limiter.acquire("a", new NamedLimit(requestsPerSecond, 0), nowMs)
                    .allowed()) {
                granted++;
            }
        }
        return granted;
    }

    @Nested
    class Permits {
        @Test
        void areGrantedAtTheRateOfTheLimit() {
            for (double limit : new double[] {0.3, 1, 1.8, 10, 200}) {
                int granted = grantedIn(1_000_000L * (long) (limit * 10), WINDOW_MS, limit);

                assertThat((double) granted).isAtMost(1.1 * limit * WINDOW_MS / 1_000 + 1);
                assertThat((double) granted).isAtLeast(Math.floor(limit * WINDOW_MS / 1_000));
            }
        }

        @Test
        void stayWithinOneAndAHalfTimesTheLimitAroundAChangeOfOwners() {
            EndpointRateLimiter next = new EndpointRateLimiter();
            for (double limit : new double[] {0.3, 1, 5, 100}) {
                int granted = 0;
                for (long nowMs = 0; nowMs < WINDOW_MS; nowMs++) {
                    EndpointRateLimiter owner = nowMs < WINDOW_MS / 2 ? limiter : next;
                    if (owner.acquire("limit-" + limit, new NamedLimit(limit, 0), nowMs)
                            .allowed()) {
                        granted++;
                    }
                }
                assertThat((double) granted).isAtMost(1.5 * limit * WINDOW_MS / 1_000 + 5);
            }
        }

        @Test
        void areNeverGrantedForALimitOfZero() {
            assertThat(grantedIn(0, WINDOW_MS, 0)).isEqualTo(0);
        }

        @Test
        void areCountedForEachEndpoint() {
            limiter.acquire("a", new NamedLimit(1, 0), 0);

            assertThat(limiter.acquire("b", new NamedLimit(1, 0), 0).allowed()).isTrue();
        }

        @Test
        void nameTheTimeUntilTheNextOne() {
            limiter.acquire("a", new NamedLimit(1, 0), 0);
            Permit denied = limiter.acquire("a", new NamedLimit(1, 0), 100);

            assertThat(denied.allowed()).isFalse();
            assertThat(limiter.acquire("a", new NamedLimit(1, 0), 100 + denied.waitMs())
                            .allowed())
                    .isTrue();
        }

        @Test
        void takeRequestsIntoAccountThatWereSentWithoutAsking() {
            limiter.recordSent("a", new NamedLimit(1, 0), 0);

            assertThat(limiter.acquire("a", new NamedLimit(1, 0), 0).allowed()).isFalse();
        }
    }

    @Nested
    class ALiftedLimit {
        @Test
        void endsForInstancesThatKnowOnlyOlderResponses() {
            limiter.acquire("a", new NamedLimit(1, 0), 0);
            limiter.recordLifted("a", 50);

            assertThat(limiter.acquire("a", new NamedLimit(1, 10), 60).limitLifted())
                    .isTrue();
        }

        @Test
        void isInForceAgainAfterANewerResponseNamesOne() {
            limiter.acquire("a", new NamedLimit(1, 0), 0);
            limiter.recordLifted("a", 50);

            assertThat(limiter.acquire("a", new NamedLimit(1, 70), 80).allowed())
                    .isFalse();
        }
    }
}
