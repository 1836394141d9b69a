package org.pimentovale.tool;

import org.pimentovale.error.ErrorCode;

/** The tool's exit codes. Immutable and thread safe. */
public enum ExitCode {
    /** The command succeeded, or the change was accepted. */
    DONE(0),
    /** A table or value is invalid and was rejected. Nothing changed. */
    REFUSED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** Another operator changed the same entries. Nothing changed. */
    CONFLICT(3),
    /** It is unknown whether the change was accepted; {@code configuration resolve} looks it up. */
    NOT_CONFIRMED(4),
    /** The platform or an instance does not respond. Nothing changed. */
    UNAVAILABLE(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
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
            case COMMAND_LINE_INVALID, PLUGIN_UNKNOWN -> USAGE;
            default -> REFUSED;
        };
    }
}
