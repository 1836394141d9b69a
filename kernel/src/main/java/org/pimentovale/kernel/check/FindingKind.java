package org.pimentovale.kernel.check;

import java.util.Locale;

/** What a finding about a configuration means. Immutable and thread safe. */
public enum FindingKind {
    /** The configuration refers to something that is missing or ambiguous. */
    ERROR(true),
    /** Two limits exclude each other, so that requests fail that the configuration seems to allow. */
    CONTRADICTION(true),
    /** An entry has no effect, since no request can match it. */
    UNREACHABLE(false),
    /** An entry differs from the version in force. */
    CHANGE(false);

    private final boolean error;

    FindingKind(boolean error) {
        this.error = error;
    }

    /**
     * Tells whether a configuration with such a finding should not be applied.
     *
     * @return true if it would fail requests
     */
    public boolean isError() {
        return error;
    }

    /**
     * Returns the kind's name in the output of tools.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
