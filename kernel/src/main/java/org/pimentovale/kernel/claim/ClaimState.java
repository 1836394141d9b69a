package org.pimentovale.kernel.claim;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;

/**
 * Progress of the attempt that holds a claim, and whether another attempt may take the claim. Immutable and thread
 * safe.
 */
public enum ClaimState {
    /** The attempt may already have been sent, or may be sent at any moment. */
    CLAIMED(false, ErrorCode.RUN_IN_PROGRESS),
    /** The owner has confirmed that nothing was sent; another attempt may take the claim. */
    RELEASED(true, null),
    /** The service has responded, and the response is stored. */
    DONE(false, null),
    /** The attempt was sent, and its outcome is unknown. */
    UNKNOWN(false, ErrorCode.RUN_OUTCOME_UNKNOWN);

    private final boolean claimable;
    private final ErrorCode refusalCode;

    ClaimState(boolean claimable, ErrorCode refusalCode) {
        this.claimable = claimable;
        this.refusalCode = refusalCode;
    }

    /**
     * Tells whether another attempt may take the claim.
     *
     * @return true only if the owner has confirmed that nothing was sent
     */
    public boolean claimable() {
        return claimable;
    }

    /**
     * Returns the error code with which a repeated request is refused.
     *
     * @return the error code, or empty if a repeated request is not refused
     */
    public Optional<ErrorCode> refusalCode() {
        return Optional.ofNullable(refusalCode);
    }
}
