package org.pimentovale.kernel.endpoint;

/** Whether an endpoint is known to be able to handle its full load. Immutable and thread safe. */
public enum Warmth {
    /** No probe has succeeded since the last lost connection; the endpoint gets no work. */
    UNVERIFIED,
    /** A verified incarnation that is not known to be warm; only the holder of its warm-up lease sends it work. */
    COLD,
    /** A verified incarnation that is known to be warm. */
    WARM
}
