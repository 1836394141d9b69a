package org.pimentovale.gateway.feed;

/** Why a call to the store was made, or what a watch brought. Immutable and thread safe. */
enum StoreCallCause {
    WATCH_ENDED_EMPTY("watch_ended_empty"),
    WATCH_ENDED_WITH_CHANGES("watch_ended_with_changes"),
    /** A watch without a usable response, also one that was replaced. */
    WATCH_FAILED("watch_failed"),
    LIST("list"),
    REGISTRATION("registration"),
    /** A watch that returns at once and was requested to learn whether anything has changed. */
    CONFIRMATION("confirmation"),
    CHECKPOINT("checkpoint"),
    QUARANTINE("quarantine"),
    /** A read or write of the state or the progress of a roll-out. */
    ROLLOUT("rollout"),
    /** A list or watch that follows one of the same kind without a usable response. */
    RETRY("retry");

    private final String label;

    StoreCallCause(String label) {
        this.label = label;
    }

    /** Returns the value of the metric's label. */
    String label() {
        return label;
    }
}
