package org.pimentovale.gateway.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.pimentovale.kernel.directory.LoadReport;

/**
 * The decoded status and headers of an endpoint's response.
 *
 * @param status the HTTP status
 * @param notRun whether the endpoint declares that it has not run the request and will not run it
 * @param attemptId the attempt to which the response belongs, empty if the endpoint does not name it
 * @param signed whether the response carries the endpoint's signature
 * @param load the load of the endpoint, empty if it is not reported
 * @param requestsPerSecond the rate of requests that the endpoint takes from all gateways together, empty if unlimited
 * @param leaving whether the endpoint says that it is leaving and takes no new work
 * @param delayMs the time for which the endpoint takes no requests after it refused one, in milliseconds; empty if it
 *     names none
 * @param unreadableHeaders the names of the headers whose values were ignored because they are not valid
 */
public record ResponseHead(
        int status,
        boolean notRun,
        Optional<String> attemptId,
        boolean signed,
        Optional<LoadReport> load,
        OptionalDouble requestsPerSecond,
        boolean leaving,
        OptionalLong delayMs,
        List<String> unreadableHeaders) {
    private static final int STATUS_REDIRECTION = 300;

    /** Copies the list. */
    public ResponseHead {
        unreadableHeaders = List.copyOf(unreadableHeaders);
    }

    /**
     * Returns the number of calls at the endpoint.
     *
     * @return running and waiting calls, empty if they are not reported
     */
    public OptionalInt pendingCalls() {
        return load.map(report -> OptionalInt.of(report.calls())).orElse(OptionalInt.empty());
    }

    /**
     * Tells whether the response states that the endpoint has not run an attempt. One that names another attempt states
     * nothing: a faulty endpoint may write an earlier refusal once more while it runs this attempt.
     *
     * @param identifier the identifier of the attempt
     * @return whether that attempt has not run and will not run
     */
    public boolean refuses(String identifier) {
        return notRun && attemptId.map(identifier::equals).orElse(true);
    }

    /**
     * Tells whether the response belongs to an attempt. A failure may name no attempt and need not be signed.
     *
     * @param identifier the identifier of the attempt
     * @return whether the response answers that attempt
     */
    public boolean answers(String identifier) {
        boolean failure = status >= STATUS_REDIRECTION;
        return attemptId.map(identifier::equals).orElse(failure) && (signed || failure);
    }
}
