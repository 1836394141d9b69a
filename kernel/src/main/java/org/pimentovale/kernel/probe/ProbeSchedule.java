package org.pimentovale.kernel.probe;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses which endpoint to probe next within a budget of probes a second, whatever the number of endpoints.
 *
 * <p>Endpoints in need (unverified or warming up) come first at their short interval; of the others the one not heard
 * from for longest, since every answer of an endpoint carries the news that a probe would bring. Invariant: at most
 * {@code budget} probes in any second. Thread safe; its lock is a leaf.
 */
public final class ProbeSchedule {
    private static final double MS_PER_SECOND = 1_000.0;

    private final double budgetPerSecond;
    private final long intervalMs;
    private final long urgentIntervalMs;
    private final Map<String, Long> lastContactMs = new HashMap<>();
    private double tokens;
    private long refilledAtMs;

    /**
     * Creates a schedule.
     *
     * @param budgetPerSecond the largest number of probes a second
     * @param intervalMs the shortest time between two probes of an endpoint
     * @param urgentIntervalMs the same, for an endpoint in need
     */
    public ProbeSchedule(double budgetPerSecond, long intervalMs, long urgentIntervalMs) {
        this.budgetPerSecond = budgetPerSecond;
        this.intervalMs = intervalMs;
        this.urgentIntervalMs = urgentIntervalMs;
        this.tokens = budgetPerSecond;
    }

    /**
     * Chooses the next endpoint to probe and counts the probe.
     *
     * @param endpoints all endpoints of interest
     * @param urgent those that take no or little work until they are probed
     * @param nowMs the time
     * @return the endpoint, or empty where none is due or the budget is spent
     */
    public synchronized Optional<String> next(Collection<String> endpoints, Set<String> urgent, long nowMs) {
        tokens = Math.min(budgetPerSecond, tokens + (nowMs - refilledAtMs) * budgetPerSecond / MS_PER_SECOND);
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return Optional.empty();
        }
        String chosen = null;
        double highestOverdueRatio = 0;
        for (String endpoint : endpoints) {
            long interval = urgent.contains(endpoint) ? urgentIntervalMs : intervalMs;
            double overdueRatio = (nowMs - lastContactMs.getOrDefault(endpoint, nowMs - 100 * intervalMs)) / (double) interval;
            if (overdueRatio >= 1 && overdueRatio > highestOverdueRatio) {
                chosen = endpoint;
                highestOverdueRatio = overdueRatio;
            }
        }
        if (chosen != null) {
            tokens -= 1;
            lastContactMs.put(chosen, nowMs);
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Records that an endpoint was heard from by other means.
     *
     * @param endpoint its address
     * @param nowMs the time
     */
    public synchronized void recordContact(String endpoint, long nowMs) {
        lastContactMs.put(endpoint, nowMs);
    }
}
