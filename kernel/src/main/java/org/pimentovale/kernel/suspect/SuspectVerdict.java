package org.pimentovale.kernel.suspect;

/** How a request may run, after what happened to the endpoints that ran it. Immutable and thread safe. */
public enum SuspectVerdict {
    /** It runs like any other. */
    CLEAR,
    /** It runs only with a system-wide permission, on an endpoint that runs no other suspect. */
    RUN_ALONE,
    /** It does not run again. */
    QUARANTINED
}
