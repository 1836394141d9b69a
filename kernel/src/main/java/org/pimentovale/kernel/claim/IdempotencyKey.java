package org.pimentovale.kernel.claim;

import java.util.Optional;
import java.util.UUID;

/**
 * An idempotency key as callers send it. Immutable and thread safe.
 *
 * <p>A key that is a version 7 UUID (RFC 9562) carries the time of its creation, so that an instance without memory can
 * tell whether its claim may have been removed.
 *
 * @param text the key
 */
public record IdempotencyKey(String text) {
    private static final int MAX_LENGTH = 200;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;

    /**
     * Tells whether the text may serve as a key.
     *
     * @return true for 1 to 200 visible ASCII characters
     */
    public boolean wellFormed() {
        return !text.isEmpty() && text.length() <= MAX_LENGTH && text.chars().allMatch(code -> code > ' ' && code < 127);
    }

    /**
     * Returns when the key was made.
     *
     * @return milliseconds since 1970, or empty where the key does not tell
     */
    public Optional<Long> createdAtMs() {
        try {
            UUID uuid = UUID.fromString(text);
            return uuid.version() == TIME_ORDERED_VERSION
                    ? Optional.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
                    : Optional.empty();
        } catch (IllegalArgumentException notUuid) {
            return Optional.empty();
        }
    }

    /**
     * Tells whether the claim of the key may have been removed, so that the key must not run.
     *
     * @param wallClockMs milliseconds since 1970
     * @param retentionMs how long claims are kept, in milliseconds
     * @return whether the key is older than that
     */
    public boolean expired(long wallClockMs, long retentionMs) {
        return createdAtMs()
                .filter(created -> wallClockMs - created > retentionMs)
                .isPresent();
    }
}
