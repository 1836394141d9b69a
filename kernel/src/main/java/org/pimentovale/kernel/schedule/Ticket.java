package org.pimentovale.kernel.schedule;

/** A submitted attempt with its listener. Compared by identity; immutable and thread safe. */
public final class Ticket {
    private final StageAttempt attempt;
    private final GrantListener listener;

    Ticket(StageAttempt attempt, GrantListener listener) {
        this.attempt = attempt;
        this.listener = listener;
    }

    StageAttempt attempt() {
        return attempt;
    }

    GrantListener listener() {
        return listener;
    }
}
