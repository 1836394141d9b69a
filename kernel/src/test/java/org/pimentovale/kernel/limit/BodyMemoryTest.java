package org.pimentovale.kernel.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BodyMemoryTest {
    private static final long BODY_BYTES = 4_194_304;

    private final BodyMemory memory = new BodyMemory(6 * BODY_BYTES);

    @Nested
    class InABurstOfLargeBodies {
        @Test
        void servesThoseThatFitAndRefusesTheOthersAtOnce() {
            List<BodyMemory.Reservation> served = new ArrayList<>();
            int refused = 0;
            for (int request = 0; request < 30; request++) {
                BodyMemory.Reservation reservation = memory.newReservation();
                if (reservation.growTo(BODY_BYTES)) {
                    served.add(reservation);
                } else {
                    refused++;
                }
            }

            assertThat(served).hasSize(6);
            assertThat(refused).isEqualTo(24);

            served.get(0).release();

            assertThat(memory.newReservation().growTo(BODY_BYTES)).isTrue();
        }
    }

    @Nested
    class AReservation {
        @Test
        void growsWithItsBody() {
            BodyMemory.Reservation reservation = memory.newReservation();

            assertThat(reservation.growTo(10)).isTrue();
            assertThat(reservation.growTo(25)).isTrue();
            assertThat(reservation.growTo(20)).isTrue();
            assertThat(memory.reservedBytes()).isEqualTo(25);
        }

        @Test
        void isReturnedOnce() {
            BodyMemory.Reservation reservation = memory.newReservation();
            reservation.growTo(10);
            reservation.release();
            reservation.release();

            assertThat(memory.reservedBytes()).isEqualTo(0);
        }
    }
}
