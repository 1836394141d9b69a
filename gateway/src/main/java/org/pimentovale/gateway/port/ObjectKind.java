package org.pimentovale.gateway.port;

/** The kinds of stored objects that a gateway watches. Immutable and thread safe. */
public enum ObjectKind {
    /** The configuration, one object. */
    CONFIGURATION,
    /** The endpoints, one object each. */
    ENDPOINTS,
    /** The availability zones that receive no new work, one object each. */
    WITHDRAWN_ZONES,
    /** The gateway instances, one object each; every instance writes its own. */
    INSTANCES,
    /** The quarantined requests and prompt parts, one object each. */
    QUARANTINES
}
