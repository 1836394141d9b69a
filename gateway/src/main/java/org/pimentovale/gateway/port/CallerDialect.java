package org.pimentovale.gateway.port;

import io.vertx.core.MultiMap;

/** Decodes what callers send. Implementations are stateless and thread safe. */
public interface CallerDialect {
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
}
