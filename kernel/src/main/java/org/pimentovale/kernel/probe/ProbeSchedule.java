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
    private static final double MS_PER_S = 1_000.0;

    private final double budgetPerSecond;
    private final long intervalMs;
    private final long urgentIntervalMs;
    private final Map<String, Long> heardMs = new HashMap<>();
    private double credit;
    private long creditMs;

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
        this.credit = budgetPerSecond;
    }

    /**
     * Chooses the next endpoint to probe and counts the probe.
     *
     * @param endpoints all endpoints of interest
     * @param inNeed those that take no or little work until they are probed
     * @param nowMs the time
     * @return the endpoint, or empty where none is due or the budget is spent
     */
    public synchronized Optional<String> next(Collection<String> endpoints, Set<String> inNeed, long nowMs) {
        credit = Math.min(budgetPerSecond, credit + (nowMs - creditMs) * budgetPerSecond / MS_PER_S);
        creditMs = nowMs;
        if (credit < 1) {
            return Optional.empty();
        }
        String chosen = null;
        double longestOverdue = 0;
        for (String endpoint : endpoints) {
            long interval = inNeed.contains(endpoint) ? urgentIntervalMs : intervalMs;
            double overdue = (nowMs - heardMs.getOrDefault(endpoint, nowMs - 100 * intervalMs)) / (double) interval;
            if (overdue >= 1 && overdue > longestOverdue) {
                chosen = endpoint;
                longestOverdue = overdue;
            }
        }
        if (chosen != null) {
            credit -= 1;
            heardMs.put(chosen, nowMs);
        }
        return Optional.ofNullable(chosen);
    }

    /**
     * Records that an endpoint was heard from by other means.
     *
     * @param endpoint its address
     * @param nowMs the time
     */
    public synchronized void heard(String endpoint, long nowMs) {
        heardMs.put(endpoint, nowMs);
    }
}
