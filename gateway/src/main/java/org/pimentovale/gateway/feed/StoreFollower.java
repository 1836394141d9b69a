package org.pimentovale.gateway.feed;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.ObjectSource;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.log.Events;

/**
 * Brings what the store holds into the tables: configuration, endpoints, withdrawn zones and gateways.
 *
 * <p>Invariant: an object that cannot be read changes nothing but what it named itself. Not thread safe; used on one
 * event loop.
 */
public final class StoreFollower {
    private static final Logger LOG = Logger.getLogger(StoreFollower.class);
    // A connection that went silent is noticed at the end of a wait, and within the bounds for changes.
    private static final int CONFIGURATION_WAIT_MS = 2_000;
    private static final int ENDPOINTS_WAIT_MS = 2_000;
    private static final int ZONES_WAIT_MS = 3_000;
    private static final int INSTANCES_WAIT_MS = 25_000;
    private static final int INSTANCES_GATHER_MS = 1_000;
    // All gateways read each change, so the more there are, the more changes each call should bring.
    private static final int ENDPOINTS_GATHER_MS_PER_GATEWAY = 5;
    private static final int ENDPOINTS_LONGEST_GATHER_MS = 400;
    private static final int LAPSE_CHECK_MS = 200;

    private final Vertx vertx;
    private final ObjectReader reader;
    private final GatewayTables tables;
    private final Runnable endpointsChanged;
    private final List<ObjectFeed> feeds = new ArrayList<>();
    private long lapseTimer = -1;

    /**
     * Creates a follower that does not run yet.
     *
     * @param vertx runs timers
     * @param source the store
     * @param reader decodes objects
     * @param tables receives what is learnt
     * @param random spreads the tries of several gateways
     * @param endpointsChanged is run after endpoints, zones or the configuration changed
     */
    public StoreFollower(
            Vertx vertx,
            ObjectSource source,
            ObjectReader reader,
            GatewayTables tables,
            RandomGenerator random,
            Runnable endpointsChanged) {
        this.vertx = vertx;
        this.reader = reader;
        this.tables = tables;
        this.endpointsChanged = endpointsChanged;
        addFeed(
                source,
                random,
                ObjectKind.CONFIGURATION,
                new FeedPace(CONFIGURATION_WAIT_MS, () -> 0),
                new ConfigurationListener());
        addFeed(
                source,
                random,
                ObjectKind.ENDPOINTS,
                new FeedPace(ENDPOINTS_WAIT_MS, this::endpointsGatherMs),
                new EndpointListener());
        addFeed(source, random, ObjectKind.WITHDRAWN_ZONES, new FeedPace(ZONES_WAIT_MS, () -> 0), new ZoneListener());
        addFeed(
                source,
                random,
                ObjectKind.INSTANCES,
                new FeedPace(INSTANCES_WAIT_MS, () -> INSTANCES_GATHER_MS),
                new PeerListener());
    }

    private void addFeed(
            ObjectSource source, RandomGenerator random, ObjectKind kind, FeedPace pace, FeedListener listener) {
        feeds.add(new ObjectFeed(vertx, source, kind, pace, listener, random));
    }

    private int endpointsGatherMs() {
        return Math.min(
                ENDPOINTS_LONGEST_GATHER_MS,
                ENDPOINTS_GATHER_MS_PER_GATEWAY * tables.peers().names().size());
    }

    /** Begins to follow all kinds. */
    public void start() {
        feeds.forEach(ObjectFeed::start);
        lapseTimer = vertx.setPeriodic(LAPSE_CHECK_MS, fired -> removeLapsed());
    }

    /** Ends all feeds. */
    public void stop() {
        feeds.forEach(ObjectFeed::stop);
        vertx.cancelTimer(lapseTimer);
    }

    private void removeLapsed() {
        List<String> gone = tables.endpoints().removeLapsed(tables.nowMs());
        gone.forEach(identifier -> Events.info(LOG, "endpoint_gone", "endpoint", identifier, "reason", "lapsed"));
        if (!gone.isEmpty()) {
            endpointsChanged.run();
        }
    }

    /** Puts configurations in force. */
    private final class ConfigurationListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries) {
            entries.forEach(this::changed);
        }

        @Override
        public void changed(ObjectEntry entry) {
            if (!entry.name().equals(reader.configurationName())) {
                return;
            }
            try {
                ServingConfiguration next = reader.configuration(entry.value());
                if (tables.applyIfNewer(next, entry.revision())) {
                    Events.info(
                            LOG,
                            "configuration_in_force",
                            "version",
                            next.version(),
                            "revision",
                            entry.revision(),
                            "routes",
                            next.routes().size());
                    endpointsChanged.run();
                }
            } catch (ServingException damaged) {
                Events.warn(
                        LOG,
                        "configuration_damaged",
                        "revision",
                        entry.revision(),
                        "failure",
                        damaged.getMessage(),
                        "in_force",
                        tables.configuration()
                                .map(ServingConfiguration::version)
                                .orElse(-1L));
            }
        }

        @Override
        public void removed(ObjectEntry entry) {
            Events.warn(LOG, "configuration_removed", "name", entry.name(), "outcome", "last one stays in force");
        }
    }

    /** Keeps the directory of endpoints. */
    private final class EndpointListener implements FeedListener {
        @Override
        public void regained() {
            tables.endpoints().recordStoreReconnect(tables.nowMs());
        }

        @Override
        public void listed(List<ObjectEntry> entries) {
            List<EndpointRecord> records = new ArrayList<>();
            entries.forEach(entry -> decode(entry).ifPresent(records::add));
            tables.endpoints().replaceAll(records, tables.nowMs());
            tables.markListed(ObjectKind.ENDPOINTS);
            endpointsChanged.run();
        }

        @Override
        public void changed(ObjectEntry entry) {
            Optional<EndpointRecord> changed = decode(entry);
            if (changed.isEmpty()) {
                tables.endpoints().remove(entry.name(), tables.nowMs());
            }
            changed.ifPresent(record -> {
                Events.info(
                        LOG,
                        "endpoint_changed",
                        "endpoint",
                        record.identifier(),
                        "service",
                        record.service(),
                        "address",
                        record.address(),
                        "leaving",
                        record.draining(),
                        "cold_ms",
                        record.remainingColdMs(),
                        "revision",
                        entry.revision());
                tables.endpoints().put(record, tables.nowMs());
            });
            endpointsChanged.run();
        }

        @Override
        public void removed(ObjectEntry entry) {
            tables.endpoints().remove(entry.name(), tables.nowMs());
            Events.info(LOG, "endpoint_removed", "endpoint", entry.name(), "revision", entry.revision());
            endpointsChanged.run();
        }

        private Optional<EndpointRecord> decode(ObjectEntry entry) {
            Optional<EndpointRecord> decoded = reader.endpoint(entry.name(), entry.value());
            if (decoded.isEmpty()) {
                Events.warn(LOG, "endpoint_unreadable", "endpoint", entry.name(), "revision", entry.revision());
            }
            return decoded;
        }
    }

    /** Keeps the availability zones that get no new work. */
    private final class ZoneListener implements FeedListener {
        private final Set<String> zones = new HashSet<>();

        @Override
        public void listed(List<ObjectEntry> entries) {
            zones.clear();
            entries.forEach(entry -> zones.add(entry.name()));
            tables.markListed(ObjectKind.WITHDRAWN_ZONES);
            apply(-1);
        }

        @Override
        public void changed(ObjectEntry entry) {
            zones.add(entry.name());
            apply(entry.revision());
        }

        @Override
        public void removed(ObjectEntry entry) {
            zones.remove(entry.name());
            apply(entry.revision());
        }

        private void apply(long revision) {
            if (!tables.endpoints().withdrawnZones().equals(zones)) {
                tables.endpoints().replaceWithdrawnZones(zones);
                Events.info(LOG, "zones_withdrawn", "zones", zones, "revision", revision);
                endpointsChanged.run();
            }
        }
    }

    /** Keeps the table of gateways. */
    private final class PeerListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries) {
            tables.peers()
                    .replaceAll(entries.stream()
                            .flatMap(entry -> reader.instance(entry.name(), entry.value()).stream())
                            .toList());
        }

        @Override
        public void changed(ObjectEntry entry) {
            reader.instance(entry.name(), entry.value()).ifPresent(record -> {
                tables.peers().put(record);
                Events.info(LOG, "peer_listed", "peer", record.name(), "address", record.address());
            });
        }

        @Override
        public void removed(ObjectEntry entry) {
            tables.peers().remove(entry.name());
            Events.info(LOG, "peer_gone", "peer", entry.name());
        }
    }
}
