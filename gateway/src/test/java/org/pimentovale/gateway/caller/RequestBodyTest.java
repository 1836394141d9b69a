package org.pimentovale.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.limit.BodyMemory;

/** Guards against a heap that is filled by the bodies of requests, after which no request is answered. */
class RequestBodyTest {
    private static final int MAX_BYTES = 100;

    private final BodyMemory memory = new BodyMemory(150);

    private RequestBody announced(int length) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().set("Content-Length", Integer.toString(length));
        return new RequestBody(headers, memory.newReservation(), MAX_BYTES);
    }

    private RequestBody chunked() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().set("Transfer-Encoding", "chunked");
        return new RequestBody(headers, memory.newReservation(), MAX_BYTES);
    }

    private static Buffer bytes(int length) {
        return Buffer.buffer(new byte[length]);
    }

    private static void assertRefused(Optional<ServingException> failure, ErrorCode code) {
        assertThat(failure.map(ServingException::code)).hasValue(code);
        assertThat(failure.map(ServingException::outcome)).hasValue(Outcome.NOT_RUN);
    }

    @Nested
    class WhenTheMemoryIsTaken {
        @Test
        void anAnnouncedBodyIsRefusedBeforeItArrives() {
            assertThat(announced(100).reserveAnnounced()).isEmpty();

            Optional<ServingException> failure = announced(60).reserveAnnounced();

            assertRefused(failure, ErrorCode.OVERLOADED);
            assertThat(failure.get().retryAfterMs().isPresent()).isTrue();
            assertThat(announced(50).reserveAnnounced()).isEmpty();
        }

        @Test
        void aBodyInChunksIsRefusedOnceAndNotHeld() {
            announced(100).reserveAnnounced();
            RequestBody body = chunked();

            assertThat(body.add(bytes(40))).isEmpty();
            assertRefused(body.add(bytes(40)), ErrorCode.OVERLOADED);
            assertThat(body.add(bytes(40))).isEmpty();
            assertThat(body.content().get().length()).isEqualTo(0);
            assertThat(memory.reservedBytes()).isEqualTo(100);
        }

        /** Guards against a buffer that stays referenced while the caller goes on sending. */
        @Test
        void aBodyWhoseRequestEndsEarlyIsNotHeld() {
            RequestBody body = chunked();
            body.add(bytes(40));
            body.release();

            assertThat(body.add(bytes(40))).isEmpty();
            assertThat(body.content().get().length()).isEqualTo(0);
            assertThat(memory.reservedBytes()).isEqualTo(0);
        }

        @Test
        void anotherBodyFitsWhenOneIsReleased() {
            RequestBody first = announced(100);
            first.reserveAnnounced();
            first.release();

            assertThat(announced(100).reserveAnnounced()).isEmpty();
        }
    }

    @Nested
    class ABody {
        @Test
        void isHeldCompletely() {
            RequestBody body = announced(100);

            assertThat(body.reserveAnnounced()).isEmpty();
            assertThat(body.add(bytes(60))).isEmpty();
            assertThat(body.add(bytes(40))).isEmpty();
            assertThat(body.content().get().length()).isEqualTo(100);
            assertThat(memory.reservedBytes()).isEqualTo(100);
        }

        /** Guards against buffers that take up to twice the reserved memory as they grow. */
        @Test
        void reservesWhatItsBufferGrowsTo() {
            RequestBody body = chunked();

            for (int reservedBytes : new int[] {11, 22, 44, 44, 88, 88, 88, 88, 100}) {
                assertThat(body.add(bytes(11))).isEmpty();
                assertThat(memory.reservedBytes()).isEqualTo(reservedBytes);
            }
            assertThat(body.content().get().length()).isEqualTo(99);
        }

        @Test
        void aboveTheConfiguredLengthIsRefused() {
            assertRefused(announced(101).reserveAnnounced(), ErrorCode.BODY_TOO_LARGE);
            assertRefused(chunked().add(bytes(101)), ErrorCode.BODY_TOO_LARGE);
        }

        @Test
        void isAbsentWithoutItsHeaders() {
            RequestBody body = new RequestBody(MultiMap.caseInsensitiveMultiMap(), memory.newReservation(), MAX_BYTES);

            assertThat(body.content()).isEmpty();
            assertThat(body.reserveAnnounced()).isEmpty();
        }
    }
}
