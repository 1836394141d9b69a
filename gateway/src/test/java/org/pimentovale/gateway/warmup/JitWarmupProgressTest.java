package org.pimentovale.gateway.warmup;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class JitWarmupProgressTest {
    private final JitWarmupProgress progress = new JitWarmupProgress(1_000);

    private int requestsUntilDone(int slowRequests, long slowMs, long fastMs) {
        while (!progress.done(2_000)) {
            progress.record(progress.requests() < slowRequests ? slowMs : fastMs);
        }
        return progress.requests();
    }

    @Test
    void endsSoonOnAMachineWhoseRequestsAreFast() {
        assertThat(requestsUntilDone(4, 200, 40)).isEqualTo(10);
    }

    @Test
    void goesOnUntilSomeRequestsInARowAreFast() {
        assertThat(requestsUntilDone(20, 200, 40)).isEqualTo(26);
    }

    @Test
    void endsAfterTheGreatestNumberOfRequestsOnASlowMachine() {
        assertThat(requestsUntilDone(1_000, 200, 40)).isEqualTo(60);
    }

    @Test
    void endsAfterItsTime() {
        progress.record(30_000);

        assertThat(progress.done(20_999)).isFalse();
        assertThat(progress.done(21_000)).isTrue();
    }
}
