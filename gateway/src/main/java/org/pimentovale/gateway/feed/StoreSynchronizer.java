package org.pimentovale.gateway.feed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.settings.StoreSilence;
import org.pimentovale.gateway.suspect.SuspectTracker;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.StoreOutage;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.serving.ServingConfiguration;
import org.pimentovale.kernel.time.ClockReading;
import org.pimentovale.log.Events;

/**
 * Copies the content of the store into the tables: configuration, endpoints, withdrawn zones, gateways and
 * quarantined keys.
 *
 * <p>Invariant: an object that cannot be decoded affects no entry but its own. Not thread safe; used on one event
 * loop.
 */
public final class StoreSynchronizer {
    private static final Logger LOG = Logger.getLogger(StoreSynchronizer.class);
    // A dead connection is detected only when a watch request times out, so the waits are short enough to meet the
    // limits on how late a change may take effect.
    private static final int CONFIGURATION_WAIT_MS = 2_000;
    private static final int ENDPOINTS_WAIT_MS = 2_000;
    private static final int ZONES_WAIT_MS = 3_000;
    private static final int INSTANCES_WAIT_MS = 25_000;
    private static final int QUARANTINES_WAIT_MS = 25_000;
    private static final int ROLLOUTS_WAIT_MS = 25_000;
    private static final int INSTANCES_BATCH_DELAY_MS = 1_000;
    // Every gateway reads every change, so the delay grows with the number of gateways to limit the load on the store.
    private static final int ENDPOINTS_BATCH_DELAY_MS_PER_GATEWAY = 5;
    private static final int ENDPOINTS_MAX_BATCH_DELAY_MS = 400;
    private static final int CHECK_INTERVAL_MS = 200;
    // The directory itself keeps entries that are missing after an outage for a while.
    private static final int ENDPOINTS_RETENTION_MS = 0;
    private static final int RETENTION_MS = 30_000;
    private static final double MS_PER_SECOND = 1_000;

    /** The waits that are short only to notice a silent connection, in milliseconds. */
    public static final List<Integer> SHORT_WAITS_MS = List.of(CONFIGURATION_WAIT_MS, ENDPOINTS_WAIT_MS, ZONES_WAIT_MS);

    private final Vertx vertx;
    private final ObjectReader reader;
    private final RejectedObjects rejectedObjects;
    private final GatewayTables tables;
    private final Runnable endpointsChanged;
    private final ContactRoles roles;
    private final ConfirmedStateClient confirmedStates;
    private final Set<ObjectKind> listedKinds = EnumSet.noneOf(ObjectKind.class);
    private final List<ObjectFeed> feeds = new ArrayList<>();
    private final FeedClocks clocks;
    private long checkTimer = -1;

    /**
     * Creates a synchronizer, which does nothing until it is started.
     *
     * @param vertx schedules requests and expiry checks
     * @param store the store
     * @param reader decodes stored objects
     * @param rejectedObjects counts the objects that cannot be decoded
     * @param tables receives the decoded objects
     * @param suspects receives the quarantined keys
     * @param random adds jitter to the backoff, so that gateways do not retry at the same time
     * @param endpointsChanged called after endpoints, zones or the configuration changed
     * @param ownInstance keeps this gateway's object in the store
     * @param confirmedStates asks peers what was confirmed before the store was restored
     * @param roles tells whether this gateway reports to others, or follows their reports
     * @param silence bounds how late changes may be known on connections that have gone silent
     */
    public StoreSynchronizer(
            Vertx vertx,
            PlatformStore store,
            ObjectReader reader,
            RejectedObjects rejectedObjects,
            GatewayTables tables,
            SuspectTracker suspects,
            RandomGenerator random,
            Runnable endpointsChanged,
            InstanceRegistration ownInstance,
            ConfirmedStateClient confirmedStates,
            ContactRoles roles,
            StoreSilence silence) {
        this.vertx = vertx;
        this.reader = reader;
        this.rejectedObjects = rejectedObjects;
        this.tables = tables;
        this.endpointsChanged = endpointsChanged;
        this.roles = roles;
        this.confirmedStates = confirmedStates;
        this.clocks = new FeedClocks(tables::nowMs, System::currentTimeMillis);
        addFeed(
                store,
                random,
                ObjectKind.CONFIGURATION,
                new FeedTiming(CONFIGURATION_WAIT_MS, () -> 0, RETENTION_MS, silence.changes()),
                new ConfigurationListener());
        addFeed(
                store,
                random,
                ObjectKind.ENDPOINTS,
                new FeedTiming(
                        ENDPOINTS_WAIT_MS, this::endpointsBatchDelayMs, ENDPOINTS_RETENTION_MS, silence.changes()),
                new EndpointListener());
        addFeed(
                store,
                random,
                ObjectKind.WITHDRAWN_ZONES,
                new FeedTiming(ZONES_WAIT_MS, () -> 0, RETENTION_MS, silence.withdrawals()),
                new ZoneListener(tables, () -> markListed(ObjectKind.WITHDRAWN_ZONES), endpointsChanged));
        addFeed(
                store,
                random,
                ObjectKind.INSTANCES,
                new FeedTiming(INSTANCES_WAIT_MS, () -> INSTANCES_BATCH_DELAY_MS, RETENTION_MS),
                new InstanceListener(
                        tables, reader, rejectedObjects, ownInstance, () -> markListed(ObjectKind.INSTANCES)));
        addFeed(
                store,
                random,
                ObjectKind.QUARANTINES,
                new FeedTiming(QUARANTINES_WAIT_MS, () -> 0, RETENTION_MS),
                new QuarantineListener(reader, rejectedObjects, suspects, () -> markListed(ObjectKind.QUARANTINES)));
    }

    /**
     * Adds the feed of orders for roll-outs. To be called before {@link #start}.
     *
     * @param store the store
     * @param random adds jitter to the backoff
     * @param listener receives the orders
     */
    public void addRolloutFeed(PlatformStore store, RandomGenerator random, FeedListener listener) {
        addFeed(
                store,
                random,
                ObjectKind.ROLLOUTS,
                new FeedTiming(ROLLOUTS_WAIT_MS, () -> 0, RETENTION_MS),
                new ListCompletionListener(listener, () -> markListed(ObjectKind.ROLLOUTS)));
    }

    private void addFeed(
            PlatformStore store, RandomGenerator random, ObjectKind kind, FeedTiming timing, FeedListener listener) {
        feeds.add(new ObjectFeed(
                vertx, store, kind, timing, listener, random, clocks, this::noteEra, this::noteOutage, roles::role));
    }

    /**
     * Returns what this gateway knows beyond a restored store.
     *
     * @return the confirmed objects, none unless the store was restored lately
     */
    public ConfirmedState confirmedState() {
        return new ConfirmedState(
                feeds.stream().flatMap(feed -> feed.confirmed().stream()).toList());
    }

    /** Asks peers once, when all kinds that a peer may know better have been listed. */
    private void markListed(ObjectKind kind) {
        boolean added = listedKinds.add(kind);
        if (added && listedKinds.size() == feeds.size()) {
            confirmedStates.ask(this::learn).onComplete(asked -> {
                listedKinds.forEach(tables::markListed);
                endpointsChanged.run();
            });
        }
    }

    private void learn(ConfirmedState state) {
        for (ConfirmedObjects confirmed : state.kinds()) {
            feeds.stream().filter(feed -> feed.kind() == confirmed.kind()).forEach(feed -> feed.learn(confirmed));
        }
    }

    /** Tells all feeds of a restored store, since a watch may not end for a long time. */
    private void noteEra(long era) {
        feeds.forEach(feed -> feed.noteEra(era));
    }

    /** Tells all feeds of an outage, since the watches of some time out only after a long wait. */
    private void noteOutage(StoreOutage outage) {
        feeds.forEach(feed -> feed.noteOutage(outage));
    }

    /**
     * Returns what this gateway reports to others of its contact with the store.
     *
     * @return the value of the header {@code Store-Contact}, empty if no gateway needs it
     */
    public Optional<String> contactReport() {
        if (roles.role() == ContactRole.INDEPENDENT) {
            return Optional.empty();
        }
        long era = feeds.stream().mapToLong(feed -> feed.revision().era()).max().orElse(0);
        List<ContactReport.KindContact> kinds = feeds.stream()
                .filter(feed -> feed.revision().era() == era)
                .flatMap(feed -> feed.report().stream())
                .toList();
        return kinds.isEmpty() ? Optional.empty() : Optional.of(new ContactReport(era, kinds).encode());
    }

    /**
     * Takes note of what another gateway reported of its contact with the store.
     *
     * @param header the value of the header {@code Store-Contact}; ignored if it is malformed
     * @param asked when the other gateway was asked
     */
    public void noteContact(String header, ClockReading asked) {
        if (roles.role() == ContactRole.FOLLOWER) {
            ContactReport.decode(header).ifPresent(report -> feeds.forEach(feed -> feed.noteReport(report, asked)));
        }
    }

    /**
     * Returns how old the knowledge of each kind is: the time since the store had no change beyond those known here.
     *
     * @return seconds by kind, without the kinds that have not been listed
     */
    public Map<String, Double> agesSeconds() {
        Map<String, Double> ages = new TreeMap<>();
        feeds.forEach(
                feed -> feed.ageMs().ifPresent(ageMs -> ages.put(feed.kind().name(), ageMs / MS_PER_SECOND)));
        return ages;
    }

    private int endpointsBatchDelayMs() {
        return Math.min(
                ENDPOINTS_MAX_BATCH_DELAY_MS,
                ENDPOINTS_BATCH_DELAY_MS_PER_GATEWAY * tables.peers().names().size());
    }

    /**
     * Asks the store for the changes of endpoints and of the configuration up to now and applies them.
     *
     * @return how long all changes of both are known without a gap, in milliseconds; fails if the store does not
     *     respond soon to both requests
     */
    public Future<Long> confirmEndpointsAndRoutes() {
        Future<Long> endpoints = confirm(ObjectKind.ENDPOINTS);
        Future<Long> configuration = confirm(ObjectKind.CONFIGURATION);
        return Future.join(endpoints, configuration).map(both -> Math.min(endpoints.result(), configuration.result()));
    }

    /**
     * Asks the store for the changes of a kind up to now and applies them.
     *
     * @param kind a kind that is watched
     * @return how long all changes are known without a gap, in milliseconds; fails if the store does not respond soon
     */
    public Future<Long> confirm(ObjectKind kind) {
        return feed(kind).confirm();
    }

    private ObjectFeed feed(ObjectKind kind) {
        return feeds.stream().filter(feed -> feed.kind() == kind).findAny().orElseThrow();
    }

    /**
     * Returns the revision up to which all changes of a kind are applied.
     *
     * @param kind the kind
     * @return the revision, {@link StoreRevision#NONE} before the first list
     */
    public StoreRevision revision(ObjectKind kind) {
        return feed(kind).revision();
    }

    /**
     * Adds time before the first lists to what {@link #confirmEndpointsAndRoutes} returns.
     *
     * @param earlierMs the time over which all changes are known by other means, in milliseconds
     * @return whether all changes since the first lists are known
     */
    public boolean addEarlierCoverage(long earlierMs) {
        boolean endpoints = feed(ObjectKind.ENDPOINTS).addEarlierCoverage(earlierMs);
        boolean configuration = feed(ObjectKind.CONFIGURATION).addEarlierCoverage(earlierMs);
        return endpoints && configuration;
    }

    /** Starts all feeds. */
    public void start() {
        feeds.forEach(ObjectFeed::start);
        checkTimer = vertx.setPeriodic(CHECK_INTERVAL_MS, fired -> {
            removeExpiredEndpoints();
            feeds.forEach(ObjectFeed::checkWait);
        });
    }

    /** Stops all feeds. */
    public void stop() {
        feeds.forEach(ObjectFeed::stop);
        vertx.cancelTimer(checkTimer);
    }

    private void removeExpiredEndpoints() {
        List<String> expired = tables.endpoints().removeExpired(tables.nowMs());
        expired.forEach(identifier ->
                Events.info(LOG, "endpoint_expired", "endpoint", identifier, "reason", "not listed in time"));
        if (!expired.isEmpty()) {
            endpointsChanged.run();
        }
    }

    /** Applies configurations. */
    private final class ConfigurationListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            entries.forEach(this::changed);
            markListed(ObjectKind.CONFIGURATION);
        }

        @Override
        public void changed(ObjectEntry entry) {
            if (!entry.name().equals(reader.configurationName())) {
                return;
            }
            rejectedObjects
                    .decode(
                            ObjectKind.CONFIGURATION,
                            entry,
                            object -> reader.configuration(object.value().parse()))
                    .ifPresentOrElse(next -> apply(entry, next), () -> logDamaged(entry));
        }

        private void apply(ObjectEntry entry, ServingConfiguration next) {
            if (tables.applyIfChanged(next, entry.revision())) {
                Events.info(
                        LOG,
                        "configuration_in_force",
                        "version",
                        next.version(),
                        "era",
                        entry.revision().era(),
                        "revision",
                        entry.revision().revision(),
                        "routes",
                        next.routes().size());
                endpointsChanged.run();
            }
        }

        private void logDamaged(ObjectEntry entry) {
            Events.warn(
                    LOG,
                    "configuration_damaged",
                    "revision",
                    entry.revision().revision(),
                    "in_force",
                    tables.configuration().map(ServingConfiguration::version).orElse(-1L));
        }

        @Override
        public void removed(ObjectEntry entry) {
            Events.warn(
                    LOG, "configuration_removed", "name", entry.name(), "outcome", "the previous one remains active");
        }
    }

    /** Updates the endpoint directory. */
    private final class EndpointListener implements FeedListener {
        @Override
        public void storeAvailable(StoreOutage outage) {
            long graceMs = tables.endpoints().recordStoreReconnect(outage, tables.nowMs());
            if (graceMs > 0) {
                Events.info(LOG, "endpoints_grace_period", "left_ms", graceMs, "restored", outage.restored());
                vertx.setTimer(graceMs, fired -> removeExpiredEndpoints());
            }
        }

        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            List<EndpointRecord> records = new ArrayList<>();
            entries.forEach(entry -> decode(entry).ifPresent(records::add));
            tables.endpoints().replaceAll(records, retained, tables.nowMs());
            markListed(ObjectKind.ENDPOINTS);
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
                        entry.revision().revision());
                tables.endpoints().put(record, tables.nowMs());
            });
            endpointsChanged.run();
        }

        @Override
        public void removed(ObjectEntry entry) {
            long keptMs = tables.endpoints().remove(entry.name(), tables.nowMs());
            Events.info(
                    LOG,
                    "endpoint_removed",
                    "endpoint",
                    entry.name(),
                    "revision",
                    entry.revision().revision(),
                    "kept_ms",
                    keptMs);
            endpointsChanged.run();
        }

        private Optional<EndpointRecord> decode(ObjectEntry entry) {
            return rejectedObjects.decode(
                    ObjectKind.ENDPOINTS,
                    entry,
                    object -> reader.endpoint(object.name(), object.value().parse()));
        }
    }
}
