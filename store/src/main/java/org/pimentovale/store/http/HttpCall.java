package org.pimentovale.store.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * An HTTP request to be sent, with its timeout.
 *
 * @param address host and port of the server
 * @param method the HTTP method
 * @param path the path, with the query if any
 * @param body the request body, empty if none
 * @param timeoutMs the timeout from the call to the complete response, in milliseconds
 */
public record HttpCall(String address, HttpMethod method, String path, Optional<Buffer> body, int timeoutMs) {
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
