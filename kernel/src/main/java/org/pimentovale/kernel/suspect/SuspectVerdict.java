package org.pimentovale.kernel.suspect;

/** How a request may run, according to the endpoints that were lost while running it. Immutable and thread safe. */
public enum SuspectVerdict {
    /** The request runs without restriction. */
    CLEAR,
    /** The request runs only with a system-wide permission, on an endpoint that runs no other suspect request. */
    RUN_ALONE,
    /** The request is not run again. */
    QUARANTINED
}
