package org.pimentovale.gateway.stage;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Why a stage has no results, as the owner of its service tells it.
 *
 * @param code what failed
 * @param detail what exactly was met
 * @param retryAfterMs when a repeat is worth while, in milliseconds, negative where nobody knows
 */
public record StageProblem(ErrorCode code, String detail, long retryAfterMs) {
    /**
     * Describes a failure.
     *
     * @param failure the failure
     * @return the problem
     */
    public static StageProblem of(ServingException failure) {
        return new StageProblem(
                failure.code(), failure.detail(), failure.retryAfterMs().orElse(-1));
    }

    /**
     * Returns the failure that the owner met.
     *
     * @return the failure; the request itself has not run
     */
    public ServingException toFailure() {
        ServingException failure = ServingException.notRun(code, detail);
        return retryAfterMs < 0 ? failure : failure.withRetryAfter(retryAfterMs);
    }
}
