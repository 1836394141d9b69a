package org.pimentovale.store.http;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BoundedBodyTest {
    private static final int KIB = 1_024;

    private static boolean appendAll(BoundedBody body, Buffer whole, int partBytes) {
        for (int start = 0; start < whole.length(); start += partBytes) {
            Buffer part = whole.slice(start, Math.min(whole.length(), start + partBytes));
            if (body.append(part) != BoundedBody.Outcome.APPENDED) {
                return false;
            }
        }
        return true;
    }

    @Nested
    class OfStoredObjects {
        private final BoundedBody body =
                BodyLimit.STORED_OBJECTS.newBody(BodyLimit.newMemory().newReservation());

        @Test
        void keepsShortStringsBesideLongOnes() {
            JsonArray objects = new JsonArray();
            for (int number = 0; number < 24; number++) {
                objects.add(
                        new JsonObject().put("note", "x".repeat(1_000 * KIB)).put("name", "object-" + number));
            }

            assertThat(appendAll(body, objects.toBuffer(), 16 * KIB)).isTrue();

            JsonArray kept = body.content().toJsonArray();
            assertThat(kept).hasSize(24);
            assertThat(kept.getJsonObject(23).getString("name")).isEqualTo("object-23");
        }

        @Test
        void leavesAShortBodyUnchanged() {
            Buffer whole = new JsonObject().put("note", "x".repeat(900 * KIB)).toBuffer();

            assertThat(appendAll(body, whole, 1_000)).isTrue();
            assertThat(body.content()).isEqualTo(whole);
        }

        @Test
        void staysValidWhereverAStringIsCut() {
            Random random = new Random(7);
            String[] characters = {"a", "\\", "\"", "\n", "\u0001", "\u00e9", "\u20ac", "\ud83d\ude00"};
            StringBuilder text = new StringBuilder();
            while (text.length() < 100 * KIB) {
                text.append(characters[random.nextInt(characters.length)]);
            }
            for (int prefix = 0; prefix < 12; prefix++) {
                LongStringFilter filter = new LongStringFilter(KIB);
                Buffer whole = new JsonObject()
                        .put("note", "p".repeat(prefix) + text)
                        .put("name", "kept")
                        .toBuffer();
                Buffer kept = Buffer.buffer();
                for (int start = 0; start < whole.length(); ) {
                    int end = Math.min(whole.length(), start + 1 + random.nextInt(KIB));
                    kept.appendBuffer(filter.filter(whole.slice(start, end)));
                    start = end;
                }

                assertThat(kept.length()).isLessThan(2 * KIB);
                assertThat(kept.toJsonObject().getString("name")).isEqualTo("kept");
            }
        }
    }

    @Nested
    class OfShortResponses {
        @Test
        void endsAtItsLimit() {
            BoundedBody body =
                    BodyLimit.SHORT_RESPONSES.newBody(BodyLimit.newMemory().newReservation());

            assertThat(appendAll(body, Buffer.buffer("x".repeat(256 * KIB)), KIB))
                    .isTrue();
            assertThat(body.append(Buffer.buffer("x"))).isEqualTo(BoundedBody.Outcome.TOO_LONG);
            assertThat(body.content().length()).isEqualTo(256 * KIB);
        }
    }

    /** Guards against responses that fill the heap together, although each keeps its limit. */
    @Nested
    class BodiesReceivedAtTheSameTime {
        private static final int CAPACITY_BYTES = 3_000;

        private final ReceivedMemory memory = new ReceivedMemory(CAPACITY_BYTES);

        private BoundedBody.Outcome append(ReceivedMemory.Reservation reservation, int bytes) {
            return BodyLimit.MESSAGES.newBody(reservation).append(Buffer.buffer(new byte[bytes]));
        }

        @Test
        void shareOneMemory() {
            ReceivedMemory.Reservation first = memory.newReservation();

            assertThat(append(first, 2_000)).isEqualTo(BoundedBody.Outcome.APPENDED);
            assertThat(append(memory.newReservation(), 2_000)).isEqualTo(BoundedBody.Outcome.NO_MEMORY);
            first.release();
            assertThat(append(memory.newReservation(), 2_000)).isEqualTo(BoundedBody.Outcome.APPENDED);
        }
    }
}
