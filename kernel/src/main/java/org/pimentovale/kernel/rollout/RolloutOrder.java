package org.pimentovale.kernel.rollout;

import java.util.Optional;

/**
 * An operator's order to move a service's requests to a build.
 *
 * @param service the service's name
 * @param identity identifies the order
 * @param stored the phase that the order's status shows, empty if it has none or belongs to an earlier order
 * @param revision the store's revision of the object
 */
public record RolloutOrder(String service, RolloutIdentity identity, Optional<RolloutPhase> stored, long revision) {
    /**
     * Returns the final phase that the store shows.
     *
     * @return the phase, empty if the order is not final in the store
     */
    public Optional<RolloutPhase> storedEnd() {
        return stored.filter(RolloutPhase::isFinal);
    }
}
