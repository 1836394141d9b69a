package org.pimentovale.error;

import java.util.Objects;
import java.util.OptionalLong;

/** A failure with a code and an outcome. Immutable and thread safe. */
public final class ServingException extends RuntimeException {
    private static final long serialVersionUID = 2L;
    private static final long RETRY_TIME_UNKNOWN = -1;

    private final ErrorCode code;
    private final Outcome outcome;
    private final long retryAfterMs;

    /**
     * Creates a failure.
     *
     * @param code what failed
     * @param outcome whether the request's work ran
     * @param detail what exactly was met, for the reader of a log
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
     * Creates a failure that happened before anything was dispatched.
     *
     * @param code what failed
     * @param detail what exactly was met
     * @return the failure, with outcome {@link Outcome#NOT_RUN}
     */
    public static ServingException notRun(ErrorCode code, String detail) {
        return new ServingException(code, Outcome.NOT_RUN, detail);
    }

    /**
     * Creates a failure after which nobody knows whether the work ran.
     *
     * @param code what failed
     * @param detail what exactly was met
     * @return the failure, with outcome {@link Outcome#UNKNOWN}
     */
    public static ServingException unknown(ErrorCode code, String detail) {
        return new ServingException(code, Outcome.UNKNOWN, detail);
    }

    /**
     * Returns a failure of any kind as one with a code.
     *
     * @param failure the failure
     * @return the same failure where it has a code, otherwise one with {@link ErrorCode#INTERNAL}
     */
    public static ServingException of(Throwable failure) {
        return failure instanceof ServingException known ? known : unknown(ErrorCode.INTERNAL, String.valueOf(failure));
    }

    /**
     * Returns this failure with another outcome.
     *
     * @param other the outcome
     * @return this failure where nothing changes, a copy otherwise
     */
    public ServingException withOutcome(Outcome other) {
        if (other == outcome) {
            return this;
        }
        return new ServingException(code, other, detail(), retryAfterMs);
    }

    /**
     * Returns this failure with the time after which a repeat is worth while.
     *
     * @param milliseconds the time from now
     * @return a copy
     */
    public ServingException withRetryAfter(long milliseconds) {
        return new ServingException(code, outcome, detail(), Math.max(0, milliseconds));
    }

    /**
     * Returns after which time a repeat is worth while.
     *
     * @return milliseconds, empty where nobody knows
     */
    public OptionalLong retryAfterMs() {
        return retryAfterMs == RETRY_TIME_UNKNOWN ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
    }

    /**
     * Returns what exactly was met.
     *
     * @return the message without the code
     */
    public String detail() {
        String message = getMessage();
        return message.substring(message.indexOf(": ") + 2);
    }

    /**
     * Returns what failed.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the work ran.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }
}
