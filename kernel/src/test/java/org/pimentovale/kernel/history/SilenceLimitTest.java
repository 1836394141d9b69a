package org.pimentovale.kernel.history;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against changes that are known later than the settings allow after a connection to the store went silent. */
class SilenceLimitTest {
    private static final int LONGEST_WAIT_MS = 2_000;

    @Test
    void aSilentWatchAndTheNextRequestEndWithinAnyLimit() {
        for (int limitMs = SilenceLimit.MIN_LIMIT_MS; limitMs < 10_000; limitMs += 100) {
            for (int batchDelayMs = 0; batchDelayMs <= 400; batchDelayMs += 100) {
                int waitMs = new SilenceLimit(limitMs).watchWaitMs(LONGEST_WAIT_MS, batchDelayMs);

                assertThat(batchDelayMs + waitMs + SilenceLimit.RESPONSE_MARGIN_MS + SilenceLimit.NEXT_REQUEST_MS)
                        .isAtMost(limitMs);
            }
        }
    }

    @Test
    void aSilentBodyAndTheNextRequestEndWithinTheSmallestLimit() {
        assertThat(SilenceLimit.BODY_SILENCE_MS + SilenceLimit.NEXT_REQUEST_MS).isAtMost(SilenceLimit.MIN_LIMIT_MS);
    }

    @Test
    void longerLimitsLeaveTheWaitOfTheKind() {
        assertThat(new SilenceLimit(3_000).watchWaitMs(LONGEST_WAIT_MS, 40)).isEqualTo(LONGEST_WAIT_MS);
        assertThat(SilenceLimit.NONE.watchWaitMs(LONGEST_WAIT_MS, 400)).isEqualTo(LONGEST_WAIT_MS);
    }

    @Test
    void reportsReplaceShortWaitsOnlyIfOldReportsLeaveTimeForARequest() {
        assertThat(new SilenceLimit(3_000).allowsReports()).isFalse();
        assertThat(new SilenceLimit(4_000).allowsReports()).isTrue();
    }

    @Test
    void aLimitThatNoReaderCanKeepIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new SilenceLimit(SilenceLimit.MIN_LIMIT_MS - 1));
    }
}
