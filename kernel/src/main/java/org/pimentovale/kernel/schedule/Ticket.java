package org.pimentovale.kernel.schedule;

/** Work that waits, with whom to tell. Identity matters; immutable and thread safe. */
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
