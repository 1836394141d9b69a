package org.pimentovale.kernel.history;

/** How a reader of the store keeps its waits. Immutable and thread safe. */
public enum ContactRole {
    /**
     * Keeps short waits and reports nothing, since the store's limit is unknown or all readers together are far below
     * it.
     */
    INDEPENDENT,
    /** Keeps short waits, so that what it reports to others is recent. */
    REPORTER,
    /** Waits long while a reporter confirms that nothing has changed. */
    FOLLOWER
}
