package org.pimentovale.kernel.rollout;

import java.util.Arrays;
import java.util.Optional;

/** The phases of an order, in the order in which they follow each other. Immutable and thread safe. */
public enum RolloutPhase {
    /** The order is known, but no phase was received yet: the new build gets no requests. */
    UNDECIDED(0, "running"),
    /** A few canary endpoints of the new build get a limited share of the requests. */
    TRIAL(1, "running"),
    /** Only the new build gets new requests, and the old one finishes those that it runs. */
    FULL(2, "running"),
    /** The new build serves all requests. */
    COMPLETED(3, "completed"),
    /** The new build was found to be bad and gets no requests. */
    ROLLED_BACK(3, "rolled_back");

    private final int rank;
    private final String state;

    RolloutPhase(int rank, String state) {
        this.rank = rank;
        this.state = state;
    }

    /**
     * Returns the state of the order while it is in this phase, as the store names it.
     *
     * @return the state
     */
    public String state() {
        return state;
    }

    /**
     * Finds the phase that a state in the store proves.
     *
     * @param state the state's name
     * @return the phase, {@link #UNDECIDED} for a running order, empty for an unknown state
     */
    public static Optional<RolloutPhase> ofState(String state) {
        return Arrays.stream(values())
                .filter(phase -> phase.state.equals(state))
                .findFirst();
    }

    /**
     * Tells whether no phase follows this one.
     *
     * @return whether the order is completed or rolled back
     */
    public boolean isFinal() {
        return rank == COMPLETED.rank;
    }

    /**
     * Tells whether this phase replaces another one of the same order.
     *
     * @param other the phase known before
     * @return whether this one follows it; a final phase is never replaced
     */
    public boolean follows(RolloutPhase other) {
        return rank > other.rank;
    }
}
