package org.pimentovale.kernel.retry;

import java.util.Locale;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;

/** The reason for retrying an attempt, with its consequences. Immutable and thread safe. */
public enum RetryReason {
    /** The connection could not be established, so nothing was sent. */
    CONNECT_FAILED(false, true, true),
    /** The connection was lost while the call was running. */
    CONNECTION_LOST(true, true, true),
    /**
     * No data arrived before the progress timeout. The endpoint may be healthy while only the connection is broken,
     * because an intermediate device lost track of it, so this does not count as a failure of the endpoint.
     */
    SILENCE(true, false, true),
    /** The endpoint reported that it did not run the call. */
    REFUSED(false, false, false),
    /** The endpoint responded with an error. */
    FAILED(true, true, false),
    /** The stream ended without its terminal event, or the response belongs to another request. */
    BROKEN_ANSWER(true, true, true),
    /** The endpoint was withdrawn between the grant and the dispatch of the call. */
    WITHDRAWN(false, false, false);

    private final boolean mayHaveRun;
    private final boolean endpointFailure;
    private final boolean newConnection;

    RetryReason(boolean mayHaveRun, boolean endpointFailure, boolean newConnection) {
        this.mayHaveRun = mayHaveRun;
        this.endpointFailure = endpointFailure;
        this.newConnection = newConnection;
    }

    /**
     * Returns the retry reason for an error code.
     *
     * @param code the error code of the failed attempt
     * @return the reason, or empty if the failure is final
     */
    public static Optional<RetryReason> of(ErrorCode code) {
        return switch (code) {
            case CONNECT_FAILED -> Optional.of(CONNECT_FAILED);
            case CONNECTION_LOST -> Optional.of(CONNECTION_LOST);
            case PROGRESS_TIMEOUT -> Optional.of(SILENCE);
            case ENDPOINT_REFUSED -> Optional.of(REFUSED);
            case ENDPOINT_FAILED -> Optional.of(FAILED);
            case STREAM_TRUNCATED, ANSWER_MISMATCHED -> Optional.of(BROKEN_ANSWER);
            case NO_ENDPOINT -> Optional.of(WITHDRAWN);
            default -> Optional.empty();
        };
    }

    /**
     * Tells whether the call may be retried.
     *
     * @param idempotent whether the stage is idempotent
     * @return true if the stage is idempotent or the call certainly did not run
     */
    public boolean allowsRetry(boolean idempotent) {
        return idempotent || !mayHaveRun;
    }

    /**
     * Tells whether the endpoint may have run the call.
     *
     * @return false if nothing was sent or the endpoint did not run the call
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether the failure counts as a failure of the endpoint.
     *
     * @return true if the endpoint is considered at fault
     */
    public boolean isEndpointFailure() {
        return endpointFailure;
    }

    /**
     * Tells whether the next attempt requires a new connection.
     *
     * @return true if pooled connections must not be used
     */
    public boolean needsNewConnection() {
        return newConnection;
    }

    /**
     * Returns the name used in metrics and logs.
     *
     * @return the constant's name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
