package org.pimentovale.kernel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.UUID;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
    private static final long CREATED_MS = 1_750_000_000_000L;
    private static final String TIME_ORDERED_KEY = new UUID(CREATED_MS << 16 | 0x7abc, 0x8000000000000001L).toString();

    @Nested
    class TimeOrderedKey {
        @Test
        void expiresAfterTheRetentionPeriod() {
            IdempotencyKey key = new IdempotencyKey(TIME_ORDERED_KEY);
            assertThat(key.createdAtMs()).hasValue(CREATED_MS);
            assertThat(key.expired(CREATED_MS + 1_000, 1_000)).isFalse();
            assertThat(key.expired(CREATED_MS + 1_001, 1_000)).isTrue();
        }
    }

    @Nested
    class KeyWithoutTimestamp {
        @Test
        void neverExpires() {
            assertThat(new IdempotencyKey("bench-7").expired(CREATED_MS, 1)).isFalse();
            assertThat(new IdempotencyKey(new UUID(0x4abcL, 1).toString()).createdAtMs())
                    .isEmpty();
        }

        @Test
        void requiresOneTo200VisibleCharacters() {
            assertThat(new IdempotencyKey("bench-7").wellFormed()).isTrue();
            assertThat(new IdempotencyKey("").wellFormed()).isFalse();
            assertThat(new IdempotencyKey("a b").wellFormed()).isFalse();
            assertThat(new IdempotencyKey("x".repeat(201)).wellFormed()).isFalse();
        }
    }
}
