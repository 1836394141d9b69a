package org.pimentovale.table;

import java.util.List;

/** Urgency classes of requests, the most urgent first. Immutable and thread safe. */
public enum Urgency {
    /** Requests with short deadlines, such as bookings and availability checks. */
    URGENT(8),
    /** Requests whose response a user waits for or reads while it is streamed. */
    INTERACTIVE(3),
    /** Background work that can be delayed within its deadline. */
    PATIENT(1);

    private final int weight;

    Urgency(int weight) {
        this.weight = weight;
    }

    /**
     * Returns the classes in the order in which their queued work is rejected under overload.
     *
     * @return the classes, the least urgent first
     */
    public static List<Urgency> leastUrgentFirst() {
        return List.of(PATIENT, INTERACTIVE, URGENT);
    }

    /**
     * Returns the weight of the class in weighted fair scheduling.
     *
     * @return the relative share of grants while all classes have queued work; at least one, to prevent starvation
     */
    public int weight() {
        return weight;
    }
}
