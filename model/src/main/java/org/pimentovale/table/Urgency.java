package org.pimentovale.table;

import java.util.List;

/** How soon a kind of request has to be served, the most urgent first. Immutable and thread safe. */
public enum Urgency {
    /** Bookings and availability checks. */
    URGENT(8),
    /** Somebody waits and reads along. */
    INTERACTIVE(3),
    /** Work that can wait within its deadline. */
    PATIENT(1);

    private final int weight;

    Urgency(int weight) {
        this.weight = weight;
    }

    /**
     * Returns the classes in the order in which work is given up.
     *
     * @return the least urgent class first
     */
    public static List<Urgency> leastUrgentFirst() {
        return List.of(PATIENT, INTERACTIVE, URGENT);
    }

    /**
     * Returns the share of grants that the class gets while all classes wait.
     *
     * @return a weight of at least one, so that no class waits for ever
     */
    public int weight() {
        return weight;
    }
}
