package org.pimentovale.kernel.claim;

import java.util.Optional;
import org.pimentovale.error.ErrorCode;

/** How far the attempt is that holds a claim, and what another attempt may do then. Immutable and thread safe. */
public enum ClaimState {
    /** The attempt may be sent at any moment, or has been. */
    CLAIMED(false, ErrorCode.RUN_IN_PROGRESS),
    /** Its owner declares that nothing was sent; another attempt may take the claim. */
    RELEASED(true, null),
    /** The service answered, and the answer is recorded. */
    DONE(false, null),
    /** It was sent, and nobody knows what became of it. */
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
     * @return true only where the owner declared that nothing was sent
     */
    public boolean claimable() {
        return claimable;
    }

    /**
     * Returns how a resend is refused.
     *
     * @return the code, or empty where a resend is not refused
     */
    public Optional<ErrorCode> refusalCode() {
        return Optional.ofNullable(refusalCode);
    }
}
