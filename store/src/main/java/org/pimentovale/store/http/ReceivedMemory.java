package org.pimentovale.store.http;

import org.pimentovale.kernel.limit.BodyMemory;

/**
 * The memory for the response bodies that one client receives at the same time, on any event loop.
 *
 * <p>Invariant: the sum of all reservations never exceeds the capacity. Thread safe.
 */
final class ReceivedMemory {
    private final BodyMemory memory;

    /** The part of the memory that one response has reserved. */
    final class Reservation {
        private final BodyMemory.Reservation reservation = memory.newReservation();

        /** Reserves memory until the response has the given amount in all; returns false if there is not enough. */
        boolean growTo(long totalBytes) {
            synchronized (memory) {
                return reservation.growTo(totalBytes);
            }
        }

        /** Returns all memory of the response. Further calls change nothing. */
        void release() {
            synchronized (memory) {
                reservation.release();
            }
        }
    }

    /**
     * Creates a memory without reservations.
     *
     * @param capacityBytes the capacity in bytes
     */
    ReceivedMemory(long capacityBytes) {
        this.memory = new BodyMemory(capacityBytes);
    }

    Reservation newReservation() {
        return new Reservation();
    }
}
