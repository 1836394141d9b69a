package org.pimentovale.response;

import java.util.Optional;

/** How the end of a response body is marked (RFC 9112, section 6.3). Immutable and thread safe. */
public enum BodyFraming {
    /** The body has as many bytes as its head says. */
    LENGTH,
    /** The body ends with a last chunk. */
    CHUNKS,
    /** The body ends with its connection, so that only the connection tells whether it is whole. */
    CONNECTION;

    private static final String CHUNKED = "chunked";

    /**
     * Reads the framing from a response head.
     *
     * @param persistent whether the protocol version is HTTP/1.1; earlier ones know no transfer codings
     * @param transferEncoding the value of {@code Transfer-Encoding}
     * @param contentLength the value of {@code Content-Length}
     * @return the framing; {@link #CONNECTION} where the last transfer coding is not {@code chunked}
     */
    public static BodyFraming of(
            boolean persistent, Optional<String> transferEncoding, Optional<String> contentLength) {
        if (transferEncoding.isEmpty()) {
            return contentLength.isPresent() ? LENGTH : CONNECTION;
        }
        String codings = transferEncoding.get();
        String last = codings.substring(codings.lastIndexOf(',') + 1).trim();
        return persistent && last.equalsIgnoreCase(CHUNKED) ? CHUNKS : CONNECTION;
    }

    /**
     * Tells whether the end of the body is marked within it.
     *
     * @return false if only the end of the connection marks it
     */
    public boolean marksEnd() {
        return this != CONNECTION;
    }
}
