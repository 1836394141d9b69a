package org.pimentovale.daemon.claim;

import io.vertx.core.Future;

/** Asks the other instances whether they have recovered from a restore. Implementations are thread safe. */
@FunctionalInterface
public interface PeerRecoveries {
    /**
     * Asks all live instances whether they have written again the claims that a restored store may have lost.
     *
     * @param era the era that began with the restore
     * @return whether each of them has confirmed it; never fails
     */
    Future<Boolean> allWritten(long era);
}
