package org.pimentovale.error;

/** Whether the non-idempotent work of a request has been executed. Immutable and thread safe. */
public enum Outcome {
    /** The non-idempotent work was not executed; no byte of it can have reached an endpoint. */
    NOT_RUN("not-run"),
    /** The work was executed, and its result is recorded. */
    DONE("done"),
    /** The work may or may not have been executed. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the external form, as used in responses and stored objects.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
