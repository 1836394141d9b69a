package org.pimentovale.kernel.endpoint;

/** What is known of an endpoint's ability to take its full share. Immutable and thread safe. */
public enum Warmth {
    /** No probe has been answered since the last lost connection; the endpoint takes no work. */
    UNVERIFIED,
    /** A verified incarnation that is not known to be warm; only the lease holder sends it work. */
    COLD,
    /** A verified incarnation that is known to be warm. */
    WARM
}
