package org.pimentovale.kernel.schedule;

/** Work that waits, with whom to tell. Identity matters; immutable and thread safe. */
public final class Ticket {
    private final StageWork work;
    private final GrantListener listener;

    Ticket(StageWork work, GrantListener listener) {
        this.work = work;
        this.listener = listener;
    }

    StageWork work() {
        return work;
    }

    GrantListener listener() {
        return listener;
    }
}
