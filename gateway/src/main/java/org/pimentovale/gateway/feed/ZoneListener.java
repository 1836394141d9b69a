package org.pimentovale.gateway.feed;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.log.Events;

/** Updates the availability zones that receive no new work. Not thread safe; used on one event loop. */
final class ZoneListener implements FeedListener {
    private static final Logger LOG = Logger.getLogger(StoreSynchronizer.class);

    private final GatewayTables tables;
    private final Runnable zonesListed;
    private final Runnable endpointsChanged;
    private final Set<String> zones = new HashSet<>();

    /**
     * Creates a listener.
     *
     * @param tables receives the zones
     * @param zonesListed called after each list
     * @param endpointsChanged called after the zones changed
     */
    ZoneListener(GatewayTables tables, Runnable zonesListed, Runnable endpointsChanged) {
        this.tables = tables;
        this.zonesListed = zonesListed;
        this.endpointsChanged = endpointsChanged;
    }

    @Override
    public void listed(List<ObjectEntry> entries, Set<String> retained) {
        zones.retainAll(retained);
        entries.forEach(entry -> zones.add(entry.name()));
        zonesListed.run();
        apply(-1);
    }

    @Override
    public void changed(ObjectEntry entry) {
        zones.add(entry.name());
        apply(entry.revision().revision());
    }

    @Override
    public void removed(ObjectEntry entry) {
        zones.remove(entry.name());
        apply(entry.revision().revision());
    }

    private void apply(long revision) {
        if (!tables.endpoints().withdrawnZones().equals(zones)) {
            tables.endpoints().replaceWithdrawnZones(zones);
            Events.info(LOG, "zones_withdrawn", "zones", zones, "revision", revision);
            endpointsChanged.run();
        }
    }
}
