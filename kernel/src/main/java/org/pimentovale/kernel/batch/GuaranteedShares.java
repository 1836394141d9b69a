package org.pimentovale.kernel.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * A guaranteed minimum of endpoint time for each of several names with waiting work, such as routes.
 *
 * <p>The minimum is a part of what would be proportional to the waiting work. A name saves it up while others are
 * served, and goes first while it has saved something, which may leave a debt. Without it, the share served of a
 * workspace with many times the load of the others (by equal shares) or of a route with a distant goal (by urgency)
 * would be less than a quarter of the average.
 *
 * <p>Invariant: a name without waiting work has saved nothing. Not thread safe.
 */
final class GuaranteedShares {
    /**
     * The guarantee is to be at least 0.25 as callers measure it. The rest is a margin for refused work, which callers
     * count but which no longer waits here.
     */
    private static final double GUARANTEED_PART = 0.4;

    /** Endpoint time over which service beyond the minimum counts against it. */
    private static final double WINDOW_MS = 6_000;

    private final Map<String, Double> shares = new HashMap<>();
    private final Map<String, Double> saved = new HashMap<>();

    /**
     * Copies the state of others.
     *
     * @param other the shares to copy
     */
    void copyFrom(GuaranteedShares other) {
        shares.putAll(other.shares);
        saved.putAll(other.saved);
    }

    /**
     * Records what waits.
     *
     * @param waitingCosts the endpoint time of the waiting work, by name
     */
    void observe(Map<String, Double> waitingCosts) {
        double total =
                waitingCosts.values().stream().mapToDouble(Double::doubleValue).sum();
        shares.clear();
        waitingCosts.forEach((name, cost) -> shares.put(name, cost / total));
        saved.keySet().retainAll(shares.keySet());
    }

    /**
     * Tells whether the next ticket of a name goes first.
     *
     * @param name the name
     * @return whether anything is saved up; the ticket may cost more, so that large tickets do not starve
     */
    boolean covers(String name) {
        return saved.getOrDefault(name, 0.0) > 0;
    }

    /**
     * Records that work is served.
     *
     * @param served the name of the work
     * @param cost its endpoint time
     */
    void serve(String served, double cost) {
        shares.forEach((name, share) -> saved.merge(name, GUARANTEED_PART * cost * share, Double::sum));
        double floor = -GUARANTEED_PART * shares.getOrDefault(served, 0.0) * WINDOW_MS;
        saved.computeIfPresent(
                served, (unused, value) -> value > 0 ? value - cost : Math.max(value - cost, Math.min(value, floor)));
    }
}
