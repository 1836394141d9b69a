package org.pimentovale.kernel.limit;

/**
 * The memory that the bodies of all requests in progress may take together.
 *
 * <p>Answers a burst of large uploads: those that fit are served, and the others are refused at once, while the rest of
 * the instance goes on working. Invariant: the sum of all reservations never exceeds the capacity. Not thread safe.
 */
public final class BodyMemory {
    private final long capacityBytes;
    private long reservedBytes;

    /** The part of the memory that one request has reserved. */
    public final class Reservation {
        private long bytes;

        /**
         * Reserves memory until the request needs the given amount in all.
         *
         * @param totalBytes the length of its body so far, or the announced length
         * @return whether the memory is reserved; if not, the reservation stays as it was
         */
        public boolean growTo(long totalBytes) {
            long missingBytes = Math.max(0, totalBytes - bytes);
            if (missingBytes > capacityBytes - reservedBytes) {
                return false;
            }
            reservedBytes += missingBytes;
            bytes += missingBytes;
            return true;
        }

        /** Returns all memory of the request. Further calls change nothing. */
        public void release() {
            reservedBytes -= bytes;
            bytes = 0;
        }
    }

    /**
     * Creates a memory without reservations.
     *
     * @param capacityBytes the capacity in bytes
     */
    public BodyMemory(long capacityBytes) {
        this.capacityBytes = capacityBytes;
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
     * Returns the sum of all reservations.
     *
     * @return the number of bytes
     */
    public long reservedBytes() {
        return reservedBytes;
    }
}
