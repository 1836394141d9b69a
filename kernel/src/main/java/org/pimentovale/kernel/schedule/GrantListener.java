package org.pimentovale.kernel.schedule;

import org.pimentovale.error.ErrorCode;

/** Receives the decision on a submitted attempt, once, outside the scheduler's lock and on any worker. */
public interface GrantListener {
    /**
     * Called when the attempt may be sent. The listener must release the grant.
     *
     * @param grant the permission to send the attempt
     */
    void granted(Grant grant);

    /**
     * Called when the attempt was refused; nothing has been sent.
     *
     * @param code the reason
     * @param retryAfterMs milliseconds after which a retry may succeed
     */
    void refused(ErrorCode code, long retryAfterMs);
}
