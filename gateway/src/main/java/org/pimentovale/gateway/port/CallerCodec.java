package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;
import java.util.List;

/** Decodes the headers of callers' requests. Implementations are stateless and thread safe. */
public interface CallerCodec {
    /**
     * Returns the path of the readiness check.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Decodes a request's headers.
     *
     * @param headers the headers
     * @return the attributes of the request
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#MALFORMED_HEADER}
     *     if a header is invalid
     */
    CallerAttempt read(MultiMap headers);

    /**
     * Encodes the headers of a sample request for the JIT warm-up.
     *
     * @param identifier identifies the attempt
     * @param key the caller's API key
     * @param pieceCounts the number of pieces of each stage, empty for a request without stages
     * @return the headers, which {@link #read} decodes to the given values
     */
    MultiMap sampleHeaders(String identifier, String key, List<Integer> pieceCounts);
}
