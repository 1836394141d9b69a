package org.pimentovale.store.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * A call to be made.
 *
 * @param address host and port
 * @param method the method
 * @param path path and query
 * @param body the body, or empty
 * @param timeoutMs the longest wait for the whole answer, in milliseconds
 */
public record HttpCall(String address, HttpMethod method, String path, Optional<Buffer> body, int timeoutMs) {
    /**
     * Returns the host.
     *
     * @return the part of the address before the port
     */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port.
     *
     * @return the part of the address behind the host
     */
    public int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
