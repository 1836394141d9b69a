package org.pimentovale.kernel.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;

class RetryTest {
    @Nested
    class Budget {
        @Test
        void boundsRetriesToRatioOfFirstAttempts() {
            RetryBudget budget = new RetryBudget(0.1, 10);
            int retries = 0;
            for (int attempt = 0; attempt < 1_000; attempt++) {
                budget.recordFirstAttempt();
                retries += budget.tryTakeRetry() ? 1 : 0;
            }
            assertThat(retries).isAtMost(110);
            assertThat(retries).isAtLeast(100);
        }
    }

    @Nested
    class Reason {
        @Test
        void callsThatMayHaveRunAreRetriedOnlyIfIdempotent() {
            for (RetryReason reason : RetryReason.values()) {
                assertThat(reason.allowsRetry(true)).isTrue();
                assertThat(reason.allowsRetry(false)).isEqualTo(!reason.mayHaveRun());
            }
        }

        @Test
        void codesThatCannotReachAnEndpointNeverCountAsRun() {
            for (ErrorCode code : ErrorCode.values()) {
                if (!code.mayReachEndpoint()) {
                    RetryReason.of(code)
                            .ifPresent(reason -> assertThat(reason.mayHaveRun()).isFalse());
                }
            }
        }
    }
}
