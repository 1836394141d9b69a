package org.pimentovale.kernel.schedule;

import java.util.Optional;
import org.pimentovale.kernel.retry.RetryReason;

/**
 * How an attempt ended. Immutable and thread safe.
 *
 * @param failure why it failed, empty where it was answered or never sent
 * @param answered whether the endpoint answered it
 * @param serviceMs time from dispatch to the end in milliseconds
 */
public record CallResult(Optional<RetryReason> failure, boolean answered, long serviceMs) {
    /**
     * The endpoint answered.
     *
     * @param serviceMs time from dispatch to the end in milliseconds
     * @return the result
     */
    public static CallResult answered(long serviceMs) {
        return new CallResult(Optional.empty(), true, serviceMs);
    }

    /**
     * The attempt failed.
     *
     * @param reason why
     * @return the result
     */
    public static CallResult failed(RetryReason reason) {
        return new CallResult(Optional.of(reason), false, 0);
    }

    /**
     * The attempt ended for a reason that says nothing of the endpoint, such as a caller that left.
     *
     * @return the result
     */
    public static CallResult abandoned() {
        return new CallResult(Optional.empty(), false, 0);
    }
}
