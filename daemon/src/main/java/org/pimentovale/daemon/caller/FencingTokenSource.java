package org.pimentovale.daemon.caller;

import java.util.Optional;

/** Gives the number of the lease under which work for a cold endpoint is sent. Implementations are thread safe. */
@FunctionalInterface
public interface FencingTokenSource {
    /**
     * Returns the number of the warm-up lease that this instance holds.
     *
     * @param address the endpoint
     * @return the number, or empty where no lease is held
     */
    Optional<Long> tokenOf(String address);
}
