package org.pimentovale.tool;

import org.pimentovale.error.ErrorCode;

/** The tool's exit codes. Immutable and thread safe. */
public enum ExitCode {
    /** Done, or accepted. */
    DONE(0),
    /** Refused: a table or value is invalid. Nothing changed. */
    REFUSED(1),
    /** Unusable arguments. */
    USAGE(2),
    /** Another operator changed the same entries. Nothing changed. */
    CONFLICT(3),
    /** The change may or may not have been accepted; {@code configuration resolve} finds out. */
    NOT_CONFIRMED(4),
    /** The platform or an instance does not answer. Nothing changed. */
    UNAVAILABLE(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number given to the shell.
     *
     * @return 0 to 5
     */
    public int number() {
        return number;
    }

    static ExitCode of(ErrorCode code) {
        return switch (code) {
            case CONFIGURATION_CONFLICT -> CONFLICT;
            case CONFIGURATION_NOT_CONFIRMED -> NOT_CONFIRMED;
            case STORE_UNAVAILABLE, CONNECT_FAILED, PROGRESS_TIMEOUT -> UNAVAILABLE;
            case PLUGIN_UNKNOWN -> USAGE;
            default -> REFUSED;
        };
    }
}
