package org.pimentovale.kernel.hedge;

import java.util.List;

/**
 * The owner's response to a {@link HedgeReport}.
 *
 * @param pool identifies the owner's records, which are lost when its process ends
 * @param ownerTimeMs the owner's clock in milliseconds
 * @param permits the number of hedges that the gateway may send
 * @param validMs how long after the report was sent the permits may be used, in milliseconds
 * @param delays the usual longest durations, at most {@link HedgeReport#MAX_ENTRIES}
 */
public record HedgeGrant(String pool, long ownerTimeMs, int permits, long validMs, List<GroupDelay> delays) {
    /**
     * The usual longest duration of one group.
     *
     * @param route the route's name
     * @param sizeClass the class of the size of work
     * @param usualMs the duration in milliseconds
     */
    public record GroupDelay(String route, int sizeClass, long usualMs) {}

    /** Copies the list, which must not contain null. */
    public HedgeGrant {
        delays = List.copyOf(delays);
    }
}
