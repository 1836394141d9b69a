package org.pimentovale.kernel.limit;

import org.pimentovale.kernel.time.MonotonicClock;

/**
 * The memory that parts of responses may take together until their callers have read them.
 *
 * <p>It is intended for loads under which many callers read slowly: an endpoint whose response is not read for some
 * seconds aborts it, so its response is read ahead within this memory. While the memory is nearly full, requests are
 * refused before they run, since their responses could not be held. Invariants: the sum of all reservations never
 * exceeds the capacity, and that of one request never exceeds its share. Not thread safe; used on one event loop.
 */
public final class ResponseMemory {
    private static final int SHARES = 8;
    private static final double RATE_DECAY_MS = 1_000;
    private static final long MIN_RETRY_AFTER_MS = 100;
    // A caller that does not read keeps its memory until its deadline, so the rate of releases may be zero.
    private static final long MAX_RETRY_AFTER_MS = 5_000;

    private final long capacityBytes;
    private final MonotonicClock clock;
    private long reservedBytes;
    private double recentlyReleasedBytes;
    private long releasedAtMs;

    /** The part of the memory that one request has reserved. */
    public final class Reservation {
        private long bytes;
        private boolean closed;

        /**
         * Reserves memory for a part of the response.
         *
         * @param partBytes the length of the part
         * @return whether the memory is reserved; if not, the reservation stays as it was
         */
        public boolean tryReserve(long partBytes) {
            if (closed || bytes + partBytes > shareBytes() || reservedBytes + partBytes > capacityBytes) {
                return false;
            }
            bytes += partBytes;
            reservedBytes += partBytes;
            return true;
        }

        /**
         * Returns memory that was reserved.
         *
         * @param partBytes the number of bytes; those that {@link #close} has returned already do not count
         */
        public void release(long partBytes) {
            long released = Math.min(bytes, partBytes);
            bytes -= released;
            reservedBytes -= released;
            recordRelease(released);
        }

        /** Returns all memory of the request, which gets none any more. Further calls change nothing. */
        public void close() {
            closed = true;
            release(bytes);
        }
    }

    /**
     * Creates a memory without reservations.
     *
     * @param capacityBytes the capacity in bytes; with zero no response is read ahead and no request refused
     * @param clock the source of monotonic time
     */
    public ResponseMemory(long capacityBytes, MonotonicClock clock) {
        this.capacityBytes = capacityBytes;
        this.clock = clock;
    }

    /**
     * Creates an empty reservation.
     *
     * @return the reservation of one request
     */
    public Reservation newReservation() {
        return new Reservation();
    }

    /**
     * Tells whether responses are read ahead and counted.
     *
     * @return whether the capacity is above zero
     */
    public boolean enabled() {
        return capacityBytes > 0;
    }

    /**
     * Tells whether a request must be refused.
     *
     * @return whether less than the share of one request is free
     */
    public boolean full() {
        return enabled() && excessBytes() > 0;
    }

    /**
     * Estimates when the share of one request is free, from the bytes that callers have read lately.
     *
     * @return milliseconds
     */
    public long retryAfterMs() {
        double bytesPerMs = decayedBytes(clock.nowMs()) / RATE_DECAY_MS;
        double expectedMs = bytesPerMs > 0 ? excessBytes() / bytesPerMs : MAX_RETRY_AFTER_MS;
        return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedMs));
    }

    /**
     * Returns the sum of all reservations.
     *
     * @return the number of bytes
     */
    public long reservedBytes() {
        return reservedBytes;
    }

    private long shareBytes() {
        return capacityBytes / SHARES;
    }

    private long excessBytes() {
        return reservedBytes + shareBytes() - capacityBytes;
    }

    private void recordRelease(long bytes) {
        long nowMs = clock.nowMs();
        recentlyReleasedBytes = decayedBytes(nowMs) + bytes;
        releasedAtMs = nowMs;
    }

    private double decayedBytes(long nowMs) {
        return recentlyReleasedBytes * Math.exp(-(nowMs - releasedAtMs) / RATE_DECAY_MS);
    }
}
