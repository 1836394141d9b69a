package org.pimentovale.bench;

/**
 * Where a server of the measurement listens. Immutable and thread safe.
 *
 * @param host a name or an IP number
 * @param port the TCP port
 */
record Address(String host, int port) {
    /** Parses host and port, separated by a colon. */
    static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
