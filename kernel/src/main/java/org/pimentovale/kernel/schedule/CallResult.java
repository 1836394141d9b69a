package org.pimentovale.kernel.schedule;

import java.util.Optional;
import org.pimentovale.kernel.retry.RetryReason;

/**
 * The result of an attempt. Immutable and thread safe.
 *
 * @param failure why the attempt failed, empty if it was completed or abandoned
 * @param completed whether the endpoint responded completely
 * @param serviceMs time from dispatch to completion in milliseconds, zero unless completed
 */
public record CallResult(Optional<RetryReason> failure, boolean completed, long serviceMs) {
    /**
     * Creates the result of an attempt to which the endpoint responded completely.
     *
     * @param serviceMs time from dispatch to completion in milliseconds
     * @return the result
     */
    public static CallResult completed(long serviceMs) {
        return new CallResult(Optional.empty(), true, serviceMs);
    }

    /**
     * Creates the result of a failed attempt.
     *
     * @param reason why the attempt failed
     * @return the result
     */
    public static CallResult failed(RetryReason reason) {
        return new CallResult(Optional.of(reason), false, 0);
    }

    /**
     * Creates the result of an attempt that ended for a reason unrelated to the endpoint, such as a caller that
     * disconnected.
     *
     * @return the result
     */
    public static CallResult abandoned() {
        return new CallResult(Optional.empty(), false, 0);
    }
}
