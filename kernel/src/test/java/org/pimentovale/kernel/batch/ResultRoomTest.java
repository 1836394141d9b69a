package org.pimentovale.kernel.batch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ResultRoomTest {
    private final ResultRoom room = new ResultRoom();

    @Test
    void countsCallsInProgress() {
        room.reserve("e", 9_000_000);

        assertThat(room.left("e", 27)).isEqualTo(18_000_000);
        assertThat(room.left("other", 27)).isEqualTo(27_000_000);
    }

    @Test
    void givesBackWhatIsReleasedOnce() {
        room.reserve("e", 3_000_000);
        room.keep("h", "e", 3_000_000, 4_000);

        room.release("h");
        room.release("h");

        assertThat(room.left("e", 27)).isEqualTo(27_000_000);
    }

    @Test
    void givesBackWhatItsEndpointHasDropped() {
        room.reserve("e", 3_000_000);
        room.keep("h", "e", 3_000_000, 4_000);

        room.expire(3_999);
        assertThat(room.left("e", 27)).isEqualTo(24_000_000);
        room.expire(4_000);

        assertThat(room.left("e", 27)).isEqualTo(27_000_000);
    }
}
