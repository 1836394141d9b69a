package org.pimentovale.daemon.caller;

import org.pimentovale.error.ServingException;

/**
 * Problem details (RFC 9457) with the code and outcome of a failure. Immutable and thread safe.
 *
 * @param type relative URI reference that contains the code
 * @param title advice of the error code
 * @param status HTTP status
 * @param detail message of the failure
 * @param code label of the error code
 * @param outcome outcome of the request: {@code not-run}, {@code done} or {@code unknown}
 * @param requestId identifier of the request
 */
public record ProblemDetails(
        String type, String title, int status, String detail, String code, String outcome, String requestId) {
    /** The media type of problem details. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Creates the problem details of a failure.
     *
     * @param failure the failure
     * @param requestIdentifier identifier of the request
     * @return the problem details
     */
    public static ProblemDetails of(ServingException failure, String requestIdentifier) {
        return new ProblemDetails(
                "/problems/" + failure.code().label(),
                failure.code().advice(),
                failure.code().status(),
                failure.getMessage(),
                failure.code().label(),
                failure.outcome().label(),
                requestIdentifier);
    }
}
