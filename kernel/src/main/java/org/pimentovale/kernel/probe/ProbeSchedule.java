package org.pimentovale.kernel.probe;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the next endpoint to probe, within a budget of probes per second that does not depend on the number of
 * endpoints.
 *
 * <p>The endpoint whose last contact lies furthest back in proportion to its interval comes first. Urgent endpoints
 * (unverified or warming up) have a shorter interval and therefore normally precede the others. Any response of an
 * endpoint counts as contact, since it carries the same information as the response to a probe. A token bucket, which
 * holds at most the probes of one second, enforces the budget. An endpoint without a recorded contact counts as last
 * contacted 100 intervals ago and so normally comes first. Thread safe; no other lock is acquired while its lock is
 * held.
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
     * @param budgetPerSecond maximum number of probes per second
     * @param intervalMs minimum time between two probes of an endpoint
     * @param urgentIntervalMs minimum time between two probes of an urgent endpoint
     */
    public ProbeSchedule(double budgetPerSecond, long intervalMs, long urgentIntervalMs) {
        this.budgetPerSecond = budgetPerSecond;
        this.intervalMs = intervalMs;
        this.urgentIntervalMs = urgentIntervalMs;
        this.tokens = budgetPerSecond;
    }

    /**
     * Chooses the next endpoint to probe and charges the probe to the budget.
     *
     * @param endpoints addresses of all endpoints that may be probed
     * @param urgent addresses of the urgent endpoints, which are unverified or warming up
     * @param nowMs the current time
     * @return the endpoint's address, or empty if none is due or the budget is exhausted
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
            double overdueRatio =
                    (nowMs - lastContactMs.getOrDefault(endpoint, nowMs - 100 * intervalMs)) / (double) interval;
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
     * Records a contact with an endpoint other than by a probe, which postpones its next probe.
     *
     * @param endpoint the endpoint's address
     * @param nowMs the current time
     */
    public synchronized void recordContact(String endpoint, long nowMs) {
        lastContactMs.put(endpoint, nowMs);
    }
}
