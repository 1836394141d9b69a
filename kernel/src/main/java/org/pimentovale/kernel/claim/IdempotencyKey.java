package org.pimentovale.kernel.claim;

import java.util.Optional;
import java.util.UUID;

/**
 * An idempotency key sent by a caller. Immutable and thread safe.
 *
 * <p>A key that is a version 7 UUID (RFC 9562) contains its creation time, so that an instance without state of its own
 * can tell whether the claim of the key may have been removed.
 *
 * @param text the key as received, which need not be well-formed
 */
public record IdempotencyKey(String text) {
    private static final int MAX_LENGTH = 200;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;

    /**
     * Tells whether the key has a valid length and valid characters.
     *
     * @return true for 1 to 200 visible ASCII characters
     */
    public boolean wellFormed() {
        return !text.isEmpty()
                && text.length() <= MAX_LENGTH
                && text.chars().allMatch(code -> code > ' ' && code < 127);
    }

    /**
     * Returns the creation time of the key.
     *
     * @return milliseconds since 1970, or empty if the key is not a version 7 UUID
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
     * Tells whether the claim of the key may already have been removed. A request with such a key must not run, since
     * it may have run before.
     *
     * @param wallClockMs the current time in milliseconds since 1970
     * @param retentionMs how long claims are kept, in milliseconds
     * @return whether the key is older than the retention period; false if its creation time is unknown
     */
    public boolean expired(long wallClockMs, long retentionMs) {
        return createdAtMs()
                .filter(created -> wallClockMs - created > retentionMs)
                .isPresent();
    }
}
