package org.pimentovale.error;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * An exception with an error code and the outcome of the request's work. It has no stack trace. Immutable and thread
 * safe.
 */
public final class ServingException extends RuntimeException {
    private static final long serialVersionUID = 2L;
    private static final long RETRY_TIME_UNKNOWN = -1;

    private final ErrorCode code;
    private final Outcome outcome;
    private final long retryAfterMs;

    /**
     * Creates an exception.
     *
     * @param code the error code
     * @param outcome whether the request's non-idempotent work was executed
     * @param detail the cause of the failure, for logs and error responses
     */
    public ServingException(ErrorCode code, Outcome outcome, String detail) {
        this(code, outcome, detail, RETRY_TIME_UNKNOWN);
    }

    private ServingException(ErrorCode code, Outcome outcome, String detail, long retryAfterMs) {
        super(code.label() + ": " + detail, null, false, false);
        this.code = Objects.requireNonNull(code);
        this.outcome = Objects.requireNonNull(outcome);
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Creates an exception for a failure before anything was dispatched.
     *
     * @param code the error code
     * @param detail the cause of the failure
     * @return an exception with outcome {@link Outcome#NOT_RUN}
     */
    public static ServingException notRun(ErrorCode code, String detail) {
        return new ServingException(code, Outcome.NOT_RUN, detail);
    }

    /**
     * Creates an exception for a failure that leaves open whether the work was executed.
     *
     * @param code the error code
     * @param detail the cause of the failure
     * @return an exception with outcome {@link Outcome#UNKNOWN}
     */
    public static ServingException unknown(ErrorCode code, String detail) {
        return new ServingException(code, Outcome.UNKNOWN, detail);
    }

    /**
     * Converts any throwable to a {@code ServingException}.
     *
     * @param failure the throwable
     * @return the throwable itself if it is a {@code ServingException}, otherwise a new exception with {@link
     *     ErrorCode#INTERNAL} and outcome {@link Outcome#UNKNOWN}
     */
    public static ServingException of(Throwable failure) {
        return failure instanceof ServingException known ? known : unknown(ErrorCode.INTERNAL, String.valueOf(failure));
    }

    /**
     * Returns this exception with the given outcome.
     *
     * @param other the outcome
     * @return this exception if it has that outcome already, otherwise a copy
     */
    public ServingException withOutcome(Outcome other) {
        if (other == outcome) {
            return this;
        }
        return new ServingException(code, other, detail(), retryAfterMs);
    }

    /**
     * Returns a copy of this exception with a recommended delay before a retry.
     *
     * @param milliseconds the delay; negative values count as zero
     * @return the copy
     */
    public ServingException withRetryAfter(long milliseconds) {
        return new ServingException(code, outcome, detail(), Math.max(0, milliseconds));
    }

    /**
     * Returns the recommended delay before a retry.
     *
     * @return the delay in milliseconds, empty if none is known
     */
    public OptionalLong retryAfterMs() {
        return retryAfterMs == RETRY_TIME_UNKNOWN ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
    }

    /**
     * Returns the cause of the failure.
     *
     * @return the message without the error code
     */
    public String detail() {
        String message = getMessage();
        return message.substring(message.indexOf(": ") + 2);
    }

    /**
     * Returns the error code.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the request's non-idempotent work was executed.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }
}
