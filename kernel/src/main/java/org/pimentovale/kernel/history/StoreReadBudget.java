package org.pimentovale.kernel.history;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Decides whether short waits of all readers would take a noticeable part of the store's read rate limit.
 *
 * @param readsPerSecond the store's limit of read calls from all readers, empty if unknown
 * @param waitsMs the short waits of each reader, in milliseconds
 */
public record StoreReadBudget(OptionalDouble readsPerSecond, List<Integer> waitsMs) {
    // The rest of the limit is for lists, writes and other users of the store.
    private static final double SHARE = 0.01;
    private static final double MS_PER_SECOND = 1_000;

    /** Copies the waits. */
    public StoreReadBudget {
        waitsMs = List.copyOf(waitsMs);
    }

    /**
     * Tells whether the short waits of a number of readers exceed their share of the limit.
     *
     * @param readers the number of readers
     * @return whether they do; never if the limit is unknown
     */
    public boolean exceededBy(int readers) {
        double callsPerSecond = readers
                * waitsMs.stream().mapToDouble(wait -> MS_PER_SECOND / wait).sum();
        return readsPerSecond.isPresent() && callsPerSecond > SHARE * readsPerSecond.getAsDouble();
    }
}
