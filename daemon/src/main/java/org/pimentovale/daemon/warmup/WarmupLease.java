package org.pimentovale.daemon.warmup;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * The stored lease on the warm-up of an endpoint, and later the news that it is warm. Immutable and thread safe.
 *
 * @param schema the version of this layout
 * @param incarnation the endpoint's incarnation
 * @param holder the instance that warms it up, or did
 * @param state whether the lease is held
 * @param renewals counts renewals, so that each changes the object
 */
record WarmupLease(int schema, String incarnation, String holder, State state, long renewals) {
    static final int SCHEMA = 1;

    /** What the stored object says. */
    enum State {
        /** The holder sends the endpoint work up to its cold limit. */
        HELD,
        /** The holder has given the lease back. */
        FREE,
        /** The incarnation is warm. */
        WARM
    }

    static WarmupLease parse(byte[] bytes) {
        WarmupLease lease = Json.read(bytes, WarmupLease.class);
        if (lease.schema != SCHEMA || lease.state == null || lease.incarnation == null || lease.holder == null) {
            throw ServingException.notRun(ErrorCode.OBJECT_DAMAGED, "warm-up lease of schema " + lease.schema);
        }
        return lease;
    }

    WarmupLease withState(State newState) {
        return new WarmupLease(schema, incarnation, holder, newState, renewals + 1);
    }
}
