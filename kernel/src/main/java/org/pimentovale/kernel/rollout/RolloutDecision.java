package org.pimentovale.kernel.rollout;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides on the next phase of an order.
 *
 * <p>Invariant: phases only move forward. Stateless and thread safe.
 */
public final class RolloutDecision {
    /** How long before the deadline the last write is sent, in milliseconds. */
    static final long LAST_WRITE_MS = 1_000;

    private static final double MAX_REQUEST_SHARE = 0.4;
    // Leaves time for the next owner to detect the death of a decider after MIN_FULL_MS in the full phase, to collect
    // reports for a second, and to complete the order before its deadline.
    private static final long FULL_MARGIN_MS = 3_500;
    // A fault that needs the full load has this time to show before the order can be completed.
    private static final long MIN_FULL_MS = 1_000;

    private RolloutDecision() {}

    /**
     * What a decider knows of an order.
     *
     * @param phase the present phase
     * @param ageMs the order's age in milliseconds
     * @param durationMs the time from the order to its deadline, in milliseconds
     * @param inPhaseMs the time since the present phase began, in milliseconds
     * @param longRequestMs the 95th percentile of the service's request durations in milliseconds, if known
     * @param rejectedBy where the build was found to be bad, empty if it was not
     * @param usableEndpoints the number of usable endpoints of the new build
     * @param oldBuildIdle whether all responsive gateways reported in this phase that the old build runs nothing
     */
    public record Situation(
            RolloutPhase phase,
            long ageMs,
            long durationMs,
            long inPhaseMs,
            OptionalLong longRequestMs,
            Optional<String> rejectedBy,
            int usableEndpoints,
            boolean oldBuildIdle) {
        private long remainingMs() {
            return durationMs - ageMs;
        }
    }

    /**
     * The transition to another phase.
     *
     * @param phase the next phase
     * @param reason why it begins
     */
    public record Transition(RolloutPhase phase, String reason) {}

    /**
     * Decides on the next phase.
     *
     * @param situation what is known of the order
     * @return the transition, empty if the phase stays
     */
    public static Optional<Transition> decide(Situation situation) {
        if (situation.phase().isFinal()) {
            return Optional.empty();
        }
        if (situation.rejectedBy().isPresent()) {
            return next(
                    RolloutPhase.ROLLED_BACK,
                    "bad responses on " + situation.rejectedBy().get());
        }
        return switch (situation.phase()) {
            case UNDECIDED -> next(RolloutPhase.TRIAL, "no later phase is known");
            case TRIAL -> afterTrial(situation);
            case FULL -> afterFull(situation);
            case COMPLETED, ROLLED_BACK -> Optional.empty();
        };
    }

    private static Optional<Transition> afterTrial(Situation situation) {
        if (situation.ageMs() < fullStartMs(situation.durationMs(), situation.longRequestMs())) {
            return Optional.empty();
        }
        if (situation.usableEndpoints() > 0) {
            return next(RolloutPhase.FULL, "the old build needs the time left");
        }
        return situation.remainingMs() > LAST_WRITE_MS
                ? Optional.empty()
                : next(RolloutPhase.ROLLED_BACK, "no usable endpoint of the new build");
    }

    private static Optional<Transition> afterFull(Situation situation) {
        if (situation.remainingMs() <= LAST_WRITE_MS) {
            return next(RolloutPhase.COMPLETED, "the deadline is near");
        }
        return situation.oldBuildIdle() && situation.inPhaseMs() >= MIN_FULL_MS
                ? next(RolloutPhase.COMPLETED, "the old build runs nothing")
                : Optional.empty();
    }

    private static Optional<Transition> next(RolloutPhase phase, String reason) {
        return Optional.of(new Transition(phase, reason));
    }

    /**
     * Returns when the full phase begins: as late as leaves the old build time to finish its requests.
     *
     * @param durationMs the time from the order to its deadline, in milliseconds
     * @param longRequestMs the 95th percentile of the service's request durations in milliseconds, if known
     * @return the order's age in milliseconds
     */
    static long fullStartMs(long durationMs, OptionalLong longRequestMs) {
        double limitMs = MAX_REQUEST_SHARE * durationMs;
        double requestMs = Math.min(limitMs, longRequestMs.orElse((long) limitMs));
        return Math.max(0, (long) (durationMs - requestMs) - FULL_MARGIN_MS);
    }
}
