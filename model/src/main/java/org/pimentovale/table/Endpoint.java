package org.pimentovale.table;

/**
 * An endpoint of a pool. Immutable and thread safe.
 *
 * @param address host and port, such as {@code 127.0.0.1:9000}
 * @param zone the availability zone of the endpoint
 */
public record Endpoint(String address, String zone) {
    /**
     * Returns the host part of the address.
     *
     * @return a host name or an IP address
     */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port part of the address.
     *
     * @return the TCP port
     */
    public int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
