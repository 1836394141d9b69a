package org.pimentovale.kernel.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ResultRoomTest {
    private final ResultCapacity room = new ResultCapacity();

    @Test
    void countsCallsInProgress() {
        room.reserve("e", 9_000_000);

        assertThat(room.availableBytes("e", 27)).isEqualTo(18_000_000);
        assertThat(room.availableBytes("other", 27)).isEqualTo(27_000_000);
    }

    @Test
    void givesBackWhatIsReleasedOnce() {
        room.reserve("e", 3_000_000);
        room.recordResult("h", "e", 3_000_000, 4_000);

        room.releaseResult("h");
        room.releaseResult("h");

        assertThat(room.availableBytes("e", 27)).isEqualTo(27_000_000);
    }

    @Test
    void givesBackWhatItsEndpointHasDropped() {
        room.reserve("e", 3_000_000);
        room.recordResult("h", "e", 3_000_000, 4_000);

        room.releaseExpired(3_999);
        assertThat(room.availableBytes("e", 27)).isEqualTo(24_000_000);
        room.releaseExpired(4_000);

        assertThat(room.availableBytes("e", 27)).isEqualTo(27_000_000);
    }
}
