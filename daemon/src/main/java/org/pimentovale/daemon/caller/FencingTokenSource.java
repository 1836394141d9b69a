package org.pimentovale.daemon.caller;

import java.util.Optional;

/** Provides the fencing token that is sent with calls to a cold endpoint. Implementations are thread safe. */
@FunctionalInterface
public interface FencingTokenSource {
    /**
     * Returns the fencing token of the warm-up lease that this instance holds.
     *
     * @param address address of the endpoint
     * @return the token, or empty if this instance holds no lease for the endpoint
     */
    Optional<Long> tokenOf(String address);
}
