package org.pimentovale.daemon.warmup;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * The stored lease on the warm-up of an endpoint; once the endpoint is warm, the object records that. Immutable and
 * thread safe.
 *
 * @param schema the version of the stored format
 * @param incarnation the endpoint's incarnation
 * @param holder the name of the instance that holds the lease or held it last
 * @param state whether the lease is held or the endpoint is warm
 * @param renewals the number of writes of the lease, so that each write changes the object
 */
record WarmupLease(int schema, String incarnation, String holder, State state, long renewals) {
    static final int SCHEMA = 1;

    /** State of the lease. */
    enum State {
        /** The holder may send requests to the endpoint, up to its cold limit. */
        HELD,
        /** The holder has released the lease. */
        FREE,
        /** The incarnation is warm; no lease is needed. */
        WARM
    }

    static WarmupLease parse(byte[] bytes) {
        WarmupLease lease = Json.read(bytes, WarmupLease.class);
        if (lease.schema != SCHEMA || lease.state == null || lease.incarnation == null || lease.holder == null) {
            throw ServingException.notRun(
                    ErrorCode.OBJECT_DAMAGED, "unsupported or incomplete warm-up lease of schema " + lease.schema);
        }
        return lease;
    }

    WarmupLease withState(State newState) {
        return new WarmupLease(schema, incarnation, holder, newState, renewals + 1);
    }
}
