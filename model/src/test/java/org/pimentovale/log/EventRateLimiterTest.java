package org.pimentovale.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventRateLimiterTest {
    private final EventRateLimiter limiter = new EventRateLimiter(2);

    @Test
    void limitsLinesOfEachEvent() {
        assertThat(limiter.tryAcquire("sent", 0)).isEqualTo(0);
        assertThat(limiter.tryAcquire("sent", 1)).isEqualTo(0);
        assertThat(limiter.tryAcquire("sent", 2)).isLessThan(0);
        assertThat(limiter.tryAcquire("ended", 2)).isEqualTo(0);
    }

    @Test
    void reportsNumberOfSuppressedLines() {
        limiter.tryAcquire("sent", 0);
        limiter.tryAcquire("sent", 0);
        limiter.tryAcquire("sent", 0);
        limiter.tryAcquire("sent", 999);

        assertThat(limiter.tryAcquire("sent", 1_000)).isEqualTo(2);
        assertThat(limiter.tryAcquire("sent", 1_001)).isEqualTo(0);
    }
}
