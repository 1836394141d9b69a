package org.pimentovale.gateway.stage;

import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * The reason why a stage has no results, sent by the owner of its service.
 *
 * @param code the kind of failure
 * @param detail the details for logs and callers
 * @param retryAfterMs recommended delay before a retry, in milliseconds, negative if unknown
 */
public record StageProblem(ErrorCode code, String detail, long retryAfterMs) {
    /**
     * Creates the problem that describes a failure.
     *
     * @param failure the failure of the stage
     * @return the problem
     */
    public static StageProblem of(ServingException failure) {
        return new StageProblem(
                failure.code(), failure.detail(), failure.retryAfterMs().orElse(-1));
    }

    /**
     * Converts the problem back to a failure.
     *
     * @return the failure, with the outcome that the request itself has not run
     */
    public ServingException toFailure() {
        ServingException failure = ServingException.notRun(code, detail);
        return retryAfterMs < 0 ? failure : failure.withRetryAfter(retryAfterMs);
    }
}
