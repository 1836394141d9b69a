package org.pimentovale.kernel.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Recognizes endpoints that are lost together, which indicates a fault of their zone rather than of their build.
 *
 * <p>Several gateways report the loss of one endpoint, and one gateway reports each request that ran there. Reports
 * within {@link #GROUP_MS} of the first in the zone are of the same event, in whatever order they arrive. Not thread
 * safe.
 */
public final class LossGroups {
    /** The time within which losses in one zone count as one, in milliseconds. */
    public static final long GROUP_MS = 250;

    private final Map<String, TreeSet<Long>> groups = new HashMap<>();

    /**
     * Adds a loss.
     *
     * @param zone the availability zone of the lost endpoint
     * @param ageMs the order's age at the loss, in milliseconds
     * @return whether it counts as a bad response
     */
    public boolean add(String zone, long ageMs) {
        TreeSet<Long> starts = groups.computeIfAbsent(zone, unused -> new TreeSet<>());
        boolean known =
                !starts.subSet(ageMs - GROUP_MS, true, ageMs + GROUP_MS, true).isEmpty();
        return !known && starts.add(ageMs);
    }
}
