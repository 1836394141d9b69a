package org.pimentovale.gateway.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.feed.FeedListener;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.ObjectRejections;
import org.pimentovale.kernel.history.StoreOutage;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.log.Events;

/**
 * Passes the stored orders to the roll-outs.
 *
 * <p>Invariant: an order that cannot be decoded changes nothing. Not thread safe; used on one event loop.
 */
public final class RolloutFeedListener implements FeedListener {
    private static final Logger LOG = Logger.getLogger(RolloutFeedListener.class);

    private final ObjectReader reader;
    private final GatewayMetrics metrics;
    private final Rollouts rollouts;

    /**
     * Creates a listener.
     *
     * @param reader decodes orders
     * @param metrics counts the orders that cannot be decoded
     * @param rollouts receives the orders
     */
    public RolloutFeedListener(ObjectReader reader, GatewayMetrics metrics, Rollouts rollouts) {
        this.reader = reader;
        this.metrics = metrics;
        this.rollouts = rollouts;
    }

    @Override
    public void listed(List<ObjectEntry> entries, Set<String> retained) {
        Set<String> present = new HashSet<>(retained);
        entries.forEach(entry -> present.add(entry.name()));
        rollouts.services().stream()
                .filter(service -> !present.contains(service))
                .forEach(rollouts::withdraw);
        entries.forEach(this::changed);
    }

    @Override
    public void changed(ObjectEntry entry) {
        decode(entry).ifPresent(rollouts::put);
    }

    @Override
    public void removed(ObjectEntry entry) {
        rollouts.withdraw(entry.name());
    }

    @Override
    public void storeAvailable(StoreOutage outage) {
        if (outage.restored()) {
            rollouts.forgetStoredEnds();
        }
    }

    private Optional<RolloutOrder> decode(ObjectEntry entry) {
        // The content was rejected when the store's answer was read.
        if (entry.value().isRejected()) {
            return Optional.empty();
        }
        try {
            return Optional.of(reader.rollout(
                    entry.name(), entry.value().parse(), entry.revision().revision()));
        } catch (ServingException invalid) {
            metrics.recordRejectedObject(ObjectKind.ROLLOUTS.name(), ObjectRejections.Reason.INVALID.label());
            Events.warn(LOG, "rollout_order_rejected", "name", entry.name(), "detail", invalid.getMessage());
            return Optional.empty();
        }
    }
}
