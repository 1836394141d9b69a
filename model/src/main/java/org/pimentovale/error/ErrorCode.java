package org.pimentovale.error;

import java.util.Locale;

/**
 * Error codes with their HTTP status and a recommended action.
 *
 * <p>Invariant: a code for which {@link #mayReachEndpoint()} is false is raised only before a request is dispatched to
 * an endpoint. Immutable and thread safe.
 */
public enum ErrorCode {
    MALFORMED_BODY(400, false, "Send one JSON object as the body."),
    MALFORMED_HEADER(400, false, "Correct the named header."),
    BODY_TOO_LARGE(413, false, "Send a smaller body."),
    BODY_TIMEOUT(408, false, "Send the whole body without long pauses."),
    KIND_UNKNOWN(404, false, "Use a kind that the routes table names."),
    KEY_MISSING(400, false, "Send an Idempotency-Key header; this kind of request runs at most once."),
    KEY_EXPIRED(409, true, "The key is older than the retention period; look up the first run, then use a new key."),
    KEY_REUSED(422, false, "The key was used with another body; use a new key for a new request."),
    RUN_IN_PROGRESS(409, true, "The first request with this key has not finished; send it again later."),
    RUN_OUTCOME_UNKNOWN(409, true, "Nobody knows whether the first run finished; check with the service."),
    ANSWER_NOT_KEPT(409, true, "The first run finished, but its answer was too large to be kept."),
    NOT_CONFIGURED(503, false, "No configuration is in force here yet; try again."),
    INSTANCE_ISOLATED(503, false, "This instance is cut off from the platform and its peers; try again."),
    INSTANCE_DRAINING(503, false, "This instance is shutting down; try again."),
    OVERLOADED(503, false, "The queue is full; try again after the given time."),
    DEADLINE_UNREACHABLE(503, false, "The request cannot finish in time now; try again after the given time."),
    DEADLINE_EXCEEDED(504, true, "The deadline passed; try again with a longer one."),
    NO_ENDPOINT(503, false, "No endpoint of the pool can take work now; try again after the given time."),
    ENGINE_MEMORY_EXCEEDED(503, false, "The request needs more tokens than an endpoint holds; make it shorter."),
    STORE_UNAVAILABLE(503, false, "The platform's store is unavailable, nothing was run; try again."),
    STORE_RESTORED(
            503, true, "The store was restored; whether the key ran is not known yet; try again after the given time."),
    CONNECT_FAILED(502, false, "The endpoint accepted no connection; try again."),
    CONNECTION_LOST(502, true, "The endpoint's connection was lost while the request ran."),
    PROGRESS_TIMEOUT(504, true, "The endpoint made no progress within the time-out."),
    STREAM_TRUNCATED(502, true, "The endpoint's stream ended before its last event."),
    ANSWER_MISMATCHED(502, true, "The endpoint answered another request."),
    ENDPOINT_REFUSED(503, true, "The endpoint refused the work."),
    ENDPOINT_FAILED(502, true, "The endpoint reported a failure."),
    RETRY_BUDGET_EXHAUSTED(503, true, "Too many requests are being retried; try again later."),
    STREAM_ORIGIN_UNKNOWN(503, false, "The build that began the stream is unknown or gone; start the stream anew."),
    REQUEST_QUARANTINED(422, true, "Endpoints were lost while this request ran; it is not run again."),
    CALLER_LEFT(499, true, "The caller closed its connection."),
    UNAUTHORISED(401, false, "Send the key of this listener."),
    CONFIGURATION_INVALID(422, false, "Correct the named entries."),
    CONFIGURATION_CONFLICT(409, false, "Another operator changed the same entries; look at the difference."),
    CONFIGURATION_NOT_CONFIRMED(504, true, "The store did not answer; ask again with the change identifier."),
    OBJECT_DAMAGED(500, false, "The stored object cannot be read; the last good one stays in force."),
    OBJECT_TOO_LARGE(413, false, "A stored value holds at most one megabyte."),
    SETTINGS_INVALID(400, false, "Correct the settings file."),
    MEMORY_EXHAUSTED(503, false, "This instance has no memory for the response now; try again."),
    HISTORY_LOST(410, false, "List the kind anew; the store has dropped part of its history."),
    PEER_UNAVAILABLE(503, false, "A peer gave no answer; the work is handed to another."),
    STAGE_FAILED(503, false, "A stage before the request could not be done; try again after the given time."),
    COMMAND_LINE_INVALID(400, false, "Correct the command line."),
    PLUGIN_UNKNOWN(400, false, "Use the name of a registered plug-in."),
    PEER_MESSAGE_INVALID(400, false, "The message between instances is malformed."),
    INTERNAL(500, true, "Report this failure with the request identifier.");

    private final int status;
    private final boolean mayReachEndpoint;
    private final String advice;

    ErrorCode(int status, boolean mayReachEndpoint, String advice) {
        this.status = status;
        this.mayReachEndpoint = mayReachEndpoint;
        this.advice = advice;
    }

    /**
     * Returns the external form of the code, as used in HTTP responses.
     *
     * @return the name in lower case with hyphens, such as {@code deadline-exceeded}
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the HTTP status of a response with this code.
     *
     * @return a status between 400 and 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the failure can occur after data has been sent to an endpoint.
     *
     * @return false if the code implies that the failing step dispatched nothing
     */
    public boolean mayReachEndpoint() {
        return mayReachEndpoint;
    }

    /**
     * Returns the recommended action, or a description of the failure if there is none.
     *
     * @return a sentence for people; the title of an error response
     */
    public String advice() {
        return advice;
    }
}
