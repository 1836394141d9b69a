package org.pimentovale.store.http;

/**
 * The memory for the response bodies that one client receives at the same time.
 *
 * <p>Invariant: the sum of all reservations never exceeds the capacity. Thread safe.
 */
final class ReceivedMemory {
    private final long capacityBytes;
    private long reservedBytes;

    /** The part of the memory that one response has reserved. */
    final class Reservation {
        private long bytes;

        /** Reserves memory until the response has the given amount in all; returns false if there is not enough. */
        boolean growTo(long totalBytes) {
            synchronized (ReceivedMemory.this) {
                long missingBytes = Math.max(0, totalBytes - bytes);
                if (missingBytes > capacityBytes - reservedBytes) {
                    return false;
                }
                reservedBytes += missingBytes;
                bytes += missingBytes;
                return true;
            }
        }

        /** Returns all memory of the response. Further calls change nothing. */
        void release() {
            synchronized (ReceivedMemory.this) {
                reservedBytes -= bytes;
                bytes = 0;
            }
        }
    }

    /**
     * Creates a memory without reservations.
     *
     * @param capacityBytes the capacity in bytes
     */
    ReceivedMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    Reservation newReservation() {
        return new Reservation();
    }
}
