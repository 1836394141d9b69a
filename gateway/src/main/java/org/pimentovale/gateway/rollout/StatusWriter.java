package org.pimentovale.gateway.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.port.ConditionalWrite;
import org.pimentovale.gateway.port.RolloutStore;
import org.pimentovale.kernel.rollout.BuildAdmission;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.rollout.RolloutPhase;
import org.pimentovale.kernel.rollout.RolloutState;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;

/**
 * Writes the state of orders to the store, one write at a time for each service, and adopts what the store holds.
 *
 * <p>Invariant: a write has the revision of the order that this gateway knows as its condition, so it changes nothing
 * if another gateway has written since. Not thread safe; used on one event loop.
 */
final class StatusWriter {
    private static final Logger LOG = Logger.getLogger(StatusWriter.class);
    private static final long RETRY_INTERVAL_MS = 300;

    private final RolloutStore store;
    private final BuildAdmission admission;
    private final MonotonicClock clock;
    private final Runnable confirmOrders;
    private final Set<String> writing = new HashSet<>();
    private final Map<String, Long> nextWriteMs = new HashMap<>();

    StatusWriter(RolloutStore store, BuildAdmission admission, MonotonicClock clock, Runnable confirmOrders) {
        this.store = store;
        this.admission = admission;
        this.clock = clock;
        this.confirmOrders = confirmOrders;
    }

    /** Writes the state of a phase, unless a write is in progress or has just failed. */
    void write(RolloutState state, RolloutPhase phase) {
        RolloutOrder order = state.order();
        String service = order.service();
        if (clock.nowMs() < nextWriteMs.getOrDefault(service, Long.MIN_VALUE) || !writing.add(service)) {
            return;
        }
        nextWriteMs.put(service, clock.nowMs() + RETRY_INTERVAL_MS);
        store.writeRolloutStatus(order, phase)
                .onComplete(ended -> writing.remove(service))
                .onSuccess(result -> handle(order, phase, result))
                .onFailure(failure -> Events.warn(
                        LOG,
                        "rollout_status_not_written",
                        "service",
                        service,
                        "state",
                        phase.state(),
                        "failure",
                        failure.getMessage()));
    }

    private void handle(RolloutOrder order, RolloutPhase phase, ConditionalWrite<RolloutOrder> result) {
        Events.info(
                LOG,
                "rollout_status_written",
                "service",
                order.service(),
                "state",
                phase.state(),
                "written",
                result.written(),
                "revision",
                result.revision().orElse(-1));
        Optional<RolloutOrder> current = result.written()
                ? Optional.of(new RolloutOrder(
                        order.service(),
                        order.identity(),
                        Optional.of(phase),
                        result.revision().orElse(order.revision())))
                : result.current();
        boolean sameOrder = current.filter(stored -> stored.identity().equals(order.identity()))
                .isPresent();
        boolean inForce = admission
                .find(order.service())
                .filter(state -> state.order().identity().equals(order.identity()))
                .isPresent();
        if (sameOrder && inForce) {
            admission.put(current.get(), clock.nowMs());
            nextWriteMs.remove(order.service());
        } else {
            confirmOrders.run();
        }
    }
}
