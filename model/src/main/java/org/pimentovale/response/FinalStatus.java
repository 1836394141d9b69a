package org.pimentovale.response;

/** Tells which numbers are the status of a final HTTP response (RFC 9110, section 15). Stateless and thread safe. */
public final class FinalStatus {
    private static final int FIRST = 200;
    private static final int LAST = 599;

    private FinalStatus() {}

    /**
     * Tells whether a response with this status answers a request. The HTTP library decodes any number in the status
     * line, also 000 or 1000, as a status.
     *
     * @param status the decoded status
     * @return false for interim statuses and for numbers that are no status
     */
    public static boolean isValid(int status) {
        return status >= FIRST && status <= LAST;
    }
}
