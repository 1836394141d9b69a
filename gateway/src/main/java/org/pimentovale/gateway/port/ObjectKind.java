package org.pimentovale.gateway.port;

/** The kinds of stored objects that a gateway follows. Immutable and thread safe. */
public enum ObjectKind {
    /** The configuration, one object. */
    CONFIGURATION,
    /** The endpoints, one object each. */
    ENDPOINTS,
    /** The availability zones that get no new work, one object each. */
    WITHDRAWN_ZONES,
    /** The gateways, one object each, written by themselves. */
    INSTANCES
}
