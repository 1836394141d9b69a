package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;
import java.util.List;

/** Decodes what callers send. Implementations are stateless and thread safe. */
public interface CallerCodec {
    /**
     * Returns the path of the readiness question.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Decodes a request's headers.
     *
     * @param headers the headers
     * @return what they say
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#MALFORMED_HEADER}
     */
    CallerAttempt read(MultiMap headers);

    /**
     * Encodes the headers of a made-up request, for a rehearsal.
     *
     * @param identifier names the attempt
     * @param key the caller's key
     * @param pieceCounts the number of pieces of each stage, empty for a request without stages
     * @return the headers, such that {@link #read} returns what was given
     */
    MultiMap sampleHeaders(String identifier, String key, List<Integer> pieceCounts);
}
