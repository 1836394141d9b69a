package org.pimentovale.kernel.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ResultCapacityTest {
    private final ResultCapacity capacity = new ResultCapacity();

    @Test
    void subtractsReservationsOfCallsInProgress() {
        capacity.reserve("e", 9_000_000);

        assertThat(capacity.availableBytes("e", 27)).isEqualTo(18_000_000);
        assertThat(capacity.availableBytes("other", 27)).isEqualTo(27_000_000);
    }

    @Test
    void freesReleasedResultOnlyOnce() {
        capacity.reserve("e", 3_000_000);
        capacity.recordResult("h", "e", 3_000_000, 4_000);

        capacity.releaseResult("h");
        capacity.releaseResult("h");

        assertThat(capacity.availableBytes("e", 27)).isEqualTo(27_000_000);
    }

    @Test
    void freesExpiredResults() {
        capacity.reserve("e", 3_000_000);
        capacity.recordResult("h", "e", 3_000_000, 4_000);

        capacity.releaseExpired(3_999);
        assertThat(capacity.availableBytes("e", 27)).isEqualTo(24_000_000);
        capacity.releaseExpired(4_000);

        assertThat(capacity.availableBytes("e", 27)).isEqualTo(27_000_000);
    }
}
