package org.pimentovale.daemon.caller;

import org.pimentovale.error.ServingException;

/**
 * Problem details (RFC 9457) with the failure's code and outcome. Immutable and thread safe.
 *
 * @param type a relative reference that names the code
 * @param title the code's advice
 * @param status the HTTP status
 * @param detail what exactly was met
 * @param code the failure's code
 * @param outcome {@code not-run}, {@code done} or {@code unknown}
 * @param requestId names the request
 */
public record ProblemDetails(
        String type, String title, int status, String detail, String code, String outcome, String requestId) {
    /** The media type of problem details. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Describes a failure.
     *
     * @param failure the failure
     * @param requestIdentifier names the request
     * @return its problem details
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
