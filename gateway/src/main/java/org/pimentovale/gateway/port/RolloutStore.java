package org.pimentovale.gateway.port;

import io.vertx.core.Future;
import java.util.OptionalLong;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutProgress;

/**
 * What gateways write of roll-outs. Every call completes within a bounded time, and every write is conditional: it is
 * made only if the object has not changed since the given revision. Thread safe.
 */
public interface RolloutStore {
    /**
     * Writes the state of an order.
     *
     * @param order the order, whose revision is the condition
     * @param phase the phase whose state is written
     * @return whether it was written, and the object that the store holds
     */
    Future<ConditionalWrite<RolloutOrder>> writeRolloutStatus(RolloutOrder order, RolloutPhase phase);

    /**
     * Reads the progress of a service's roll-out.
     *
     * @param service the service's name
     * @return the progress, without content if there is none or it is not valid
     */
    Future<ConditionalWrite<RolloutProgress>> readRolloutProgress(String service);

    /**
     * Writes the progress of a service's roll-out.
     *
     * @param service the service's name
     * @param progress the progress
     * @param revision the revision that the object must have, empty if it must not exist
     * @return whether it was written, and the object that the store holds
     */
    Future<ConditionalWrite<RolloutProgress>> writeRolloutProgress(
            String service, RolloutProgress progress, OptionalLong revision);
}
