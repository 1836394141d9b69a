package org.pimentovale.error;

/** States whether the non-idempotent part of a request has run. Immutable and thread safe. */
public enum Outcome {
    /** No byte of the request's non-repeatable work can have reached an endpoint. */
    NOT_RUN("not-run"),
    /** The work ran, and its result is recorded. */
    DONE("done"),
    /** The work may or may not have run. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the text used in answers and stored objects.
     *
     * @return the label, in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
