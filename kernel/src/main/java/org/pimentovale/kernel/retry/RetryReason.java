package org.pimentovale.kernel.retry;

import java.util.Locale;
import java.util.Optional;
import org.pimentovale.error.ErrorCode;

/** Why an attempt is repeated, and what follows from it. Immutable and thread safe. */
public enum RetryReason {
    /** The connection was never made, so that nothing was sent. */
    CONNECT_FAILED(false, true, true),
    /** The connection broke while the call ran. */
    CONNECTION_LOST(true, true, true),
    /** The connection was silent; the endpoint may be well behind a connection that others have lost track of. */
    SILENCE(true, false, true),
    /** The endpoint declared that it has not run the call. */
    REFUSED(false, false, false),
    /** The endpoint answered with a failure. */
    FAILED(true, true, false),
    /** The stream ended without its terminal event, or answered another request. */
    BROKEN_ANSWER(true, true, true),
    /** Between the grant and the dispatch the endpoint left service. */
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
     * Finds the reason that belongs to a failure.
     *
     * @param code the failure's code
     * @return the reason, or empty where the failure is final
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
     * Tells whether the call may be repeated.
     *
     * @param idempotent whether the stage may run twice
     * @return true where a second run does no harm or the first one has not happened
     */
    public boolean allowsRetry(boolean idempotent) {
        return idempotent || !mayHaveRun;
    }

    /**
     * Tells whether the call can have reached the endpoint.
     *
     * @return false where nothing was sent or the endpoint declared that it has not run the call
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Tells whether the failure counts against the endpoint.
     *
     * @return whether it does
     */
    public boolean isEndpointFailure() {
        return endpointFailure;
    }

    /**
     * Tells whether the next attempt has to use a new connection.
     *
     * @return whether it has to
     */
    public boolean needsNewConnection() {
        return newConnection;
    }

    /**
     * Returns the name used by counters and logs.
     *
     * @return lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
