package org.pimentovale.kernel.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one gateway knows of one order.
 *
 * <p>Invariants: the phase only moves forward, except that the store's final phase replaces another final one that the
 * store does not show; the age never falls below what was learnt. Not thread safe.
 */
public final class RolloutState {
    private final TrialAllowance allowance;
    private final Set<String> canaries = new HashSet<>();
    private final Map<String, Integer> trialsByEndpoint = new HashMap<>();
    private RolloutOrder order;
    private RolloutPhase phase = RolloutPhase.UNDECIDED;
    private long phaseSinceMs;
    private long orderedAtMs;
    private long canariesUntilMs = Long.MIN_VALUE;
    private String decider = "";
    private long sequence;

    RolloutState(RolloutOrder order, TrialAllowance allowance, long nowMs) {
        this.order = order;
        this.allowance = allowance;
        this.phaseSinceMs = nowMs;
        this.orderedAtMs = nowMs;
    }

    /** Replaces the order by a later state of its object, which has the same identity. */
    void update(RolloutOrder later) {
        order = later;
    }

    /**
     * Returns the order as the store last showed it.
     *
     * @return the order
     */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Returns the phase.
     *
     * @return the phase
     */
    public RolloutPhase phase() {
        return phase;
    }

    /**
     * Returns the time since this gateway learnt of the phase.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds
     */
    public long inPhaseMs(long nowMs) {
        return nowMs - phaseSinceMs;
    }

    /**
     * Returns the order's age.
     *
     * @param nowMs the current time in milliseconds
     * @return the greatest age that this gateway knows, in milliseconds
     */
    public long ageMs(long nowMs) {
        return nowMs - orderedAtMs;
    }

    /**
     * Learns of an age that another gateway or the store shows.
     *
     * @param ageMs the age in milliseconds
     * @param nowMs the current time in milliseconds
     */
    public void learnAge(long ageMs, long nowMs) {
        orderedAtMs = Math.min(orderedAtMs, nowMs - ageMs);
    }

    /** Moves to a phase; the caller has checked that it is admissible. */
    void enter(RolloutPhase next, long nowMs) {
        phase = next;
        phaseSinceMs = nowMs;
    }

    /**
     * Records what the decider selected. A message that was overtaken by a later one of the same decider is ignored.
     *
     * @param from the decider's name
     * @param number the sequence number of the decider's message
     * @param selected the identifiers of the canary endpoints
     * @param untilMs the time in milliseconds until which they get requests if the decider is not heard again
     */
    public void recordCanaries(String from, long number, Set<String> selected, long untilMs) {
        if (from.equals(decider) && number < sequence) {
            return;
        }
        decider = from;
        sequence = number;
        canariesUntilMs = untilMs;
        canaries.clear();
        canaries.addAll(selected);
    }

    /** Forgets what the decider said, after a time in which this process did not run. */
    public void forgetDecider() {
        canariesUntilMs = Long.MIN_VALUE;
    }

    /**
     * Returns the identifiers of the canary endpoints.
     *
     * @return the identifiers
     */
    public Set<String> canaries() {
        return Set.copyOf(canaries);
    }

    /**
     * Tells whether a build is the order's target.
     *
     * @param build the build
     * @return whether it is
     */
    public boolean isNew(String build) {
        return order.identity().to().equals(build);
    }

    boolean isCanary(String endpoint, long nowMs) {
        return nowMs <= canariesUntilMs && canaries.contains(endpoint);
    }

    /** Records a request that was sent to an endpoint of the new build. */
    void recordTrial(String endpoint) {
        allowance.recordTrial();
        trialsByEndpoint.merge(endpoint, 1, Integer::sum);
    }

    /** Returns how many requests were sent to an endpoint of the new build. */
    int trials(String endpoint) {
        return trialsByEndpoint.getOrDefault(endpoint, 0);
    }

    TrialAllowance allowance() {
        return allowance;
    }

    /**
     * Returns the final phase that is to be written to the store.
     *
     * @return the phase, empty if the order is not final or the store shows a final phase
     */
    public Optional<RolloutPhase> unwrittenEnd() {
        return phase.isFinal() && order.storedEnd().isEmpty() ? Optional.of(phase) : Optional.empty();
    }
}
