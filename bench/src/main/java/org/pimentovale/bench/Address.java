package org.pimentovale.bench;

/**
 * The address of a server that takes part in a measurement. Immutable and thread safe.
 *
 * @param host host name or IP address
 * @param port TCP port
 */
record Address(String host, int port) {
    /** Parses an address of the form {@code HOST:PORT}. */
    static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
