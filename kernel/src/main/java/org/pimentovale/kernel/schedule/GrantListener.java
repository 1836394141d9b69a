package org.pimentovale.kernel.schedule;

import org.pimentovale.error.ErrorCode;

/** Is told once what became of submitted work, outside the scheduler's lock, on any worker. */
public interface GrantListener {
    /**
     * The work may be sent; the listener has to release the grant.
     *
     * @param grant where to send it
     */
    void granted(Grant grant);

    /**
     * The work was refused before anything was sent.
     *
     * @param code why
     * @param retryAfterMs when another try may succeed, in milliseconds from now
     */
    void refused(ErrorCode code, long retryAfterMs);
}
