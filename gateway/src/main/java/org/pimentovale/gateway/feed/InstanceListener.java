package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.log.Events;

/** Updates the table of peers. Not thread safe; used on one event loop. */
final class InstanceListener implements FeedListener {
    private static final Logger LOG = Logger.getLogger(StoreSynchronizer.class);

    private final GatewayTables tables;
    private final ObjectReader reader;
    private final RejectedObjects rejectedObjects;
    private final InstanceRegistration ownInstance;
    private final Runnable instancesListed;

    /**
     * Creates a listener.
     *
     * @param tables receives the gateways
     * @param reader decodes stored objects
     * @param rejectedObjects counts the objects that cannot be decoded
     * @param ownInstance keeps this gateway's object in the store
     * @param instancesListed called after each list
     */
    InstanceListener(
            GatewayTables tables,
            ObjectReader reader,
            RejectedObjects rejectedObjects,
            InstanceRegistration ownInstance,
            Runnable instancesListed) {
        this.tables = tables;
        this.reader = reader;
        this.rejectedObjects = rejectedObjects;
        this.ownInstance = ownInstance;
        this.instancesListed = instancesListed;
    }

    @Override
    public void listed(List<ObjectEntry> entries, Set<String> retained) {
        List<InstanceRecord> records = new ArrayList<>(tables.peers().others());
        records.removeIf(record -> !retained.contains(record.name()));
        entries.forEach(entry -> decode(entry).ifPresent(records::add));
        tables.peers().replaceAll(records);
        if (entries.stream().anyMatch(this::isOwn)) {
            ownInstance.shown();
        } else {
            ownInstance.missing();
        }
        instancesListed.run();
    }

    @Override
    public void reappeared(ObjectEntry entry) {
        if (tables.peers().owner(entry.name()).isEmpty()) {
            ownInstance.removeOther(entry.name());
        }
    }

    private boolean isOwn(ObjectEntry entry) {
        return entry.name().equals(tables.peers().self().name());
    }

    @Override
    public void changed(ObjectEntry entry) {
        if (isOwn(entry)) {
            ownInstance.shown();
        }
        Optional<InstanceRecord> changed = decode(entry);
        if (changed.isEmpty()) {
            tables.peers().remove(entry.name());
        }
        changed.ifPresent(record -> {
            tables.peers().put(record);
            Events.info(LOG, "peer_listed", "peer", record.name(), "address", record.address());
        });
    }

    @Override
    public void removed(ObjectEntry entry) {
        if (isOwn(entry)) {
            ownInstance.missing();
            return;
        }
        tables.peers().remove(entry.name());
        Events.info(LOG, "peer_removed", "peer", entry.name());
    }

    private Optional<InstanceRecord> decode(ObjectEntry entry) {
        return rejectedObjects.decode(
                ObjectKind.INSTANCES,
                entry,
                object -> reader.instance(object.name(), object.value().parse()));
    }
}
