package org.pimentovale.daemon.configuration;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.change.ConfigurationEditor;
import org.pimentovale.table.Configuration;

/**
 * Applies the configurations that are written to the store.
 *
 * <p>A watch delivers them immediately. Because a watch may stop reporting, the configuration is also read
 * periodically, at a rate that is bounded over all instances; the first instance that reads a change notifies the
 * others. A store that was restored from a backup may hold an older configuration than the active one, or none; it is
 * written again. Invariant: a value that cannot be parsed changes nothing. Thread safe.
 */
public final class ConfigurationWatch {
    private static final Logger LOG = Logger.getLogger(ConfigurationWatch.class);
    private static final int WATCH_TIMEOUT_MS = 10_000;
    private static final int RETRY_DELAY_MS = 200;
    private static final int READ_PERIOD_MS = 1_000;
    private static final int OUTAGE_READ_PERIOD_MS = 250;
    private static final int FLEET_READS_PER_PERIOD = 16;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final ServingTables tables;
    private final DaemonMetrics metrics;
    private final RandomGenerator random;
    private volatile long storedVersion;
    private volatile byte[] damagedValue = {};

    /**
     * Creates a watch that is not started.
     *
     * @param vertx runs the timers
     * @param store holds the configuration
     * @param health records the outcome of store calls
     * @param tables the shared tables
     * @param metrics counts failed store calls and values that cannot be parsed
     * @param random jitter that spreads the reads of the instances over time; thread safe
     */
    public ConfigurationWatch(
            Vertx vertx,
            ObjectStore store,
            StoreHealth health,
            ServingTables tables,
            DaemonMetrics metrics,
            RandomGenerator random) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.tables = tables;
        this.metrics = metrics;
        this.random = random;
    }

    /**
     * Starts the watch and the periodic reads.
     *
     * @return a future that completes once the first read has ended, even if it failed
     */
    public Future<Void> start() {
        watch();
        return read();
    }

    private void watch() {
        store.awaitChange(ConfigurationEditor.KIND, ConfigurationEditor.NAME, storedVersion, WATCH_TIMEOUT_MS)
                .onComplete(result -> {
                    if (result.succeeded()) {
                        result.result().ifPresent(this::apply);
                        vertx.runOnContext(run -> watch());
                    } else {
                        metrics.recordStoreFailure("watch");
                        vertx.setTimer(RETRY_DELAY_MS + random.nextInt(RETRY_DELAY_MS), fired -> watch());
                    }
                });
    }

    private Future<Void> read() {
        Future<Optional<StoredObject>> stored =
                health.track(store.read(ConfigurationEditor.KIND, ConfigurationEditor.NAME));
        return stored.<Void>transform(result -> {
            if (result.succeeded()) {
                result.result().ifPresentOrElse(this::apply, this::writeAgainIfMissing);
            } else {
                metrics.recordStoreFailure("read");
            }
            int instances = tables.members().live().size();
            int basePeriodMs = health.available() ? READ_PERIOD_MS : OUTAGE_READ_PERIOD_MS;
            int periodMs = basePeriodMs * Math.max(1, instances / FLEET_READS_PER_PERIOD);
            vertx.setTimer(periodMs / 2 + random.nextInt(periodMs), fired -> read());
            return Future.succeededFuture();
        });
    }

    private void apply(StoredObject stored) {
        // A restored store assigns versions again, so the version of a damaged value may later be that of a good one.
        if (Arrays.equals(stored.value(), damagedValue)) {
            return;
        }
        storedVersion = stored.version();
        try {
            Configuration configuration = Configuration.parse(stored.value());
            if (tables.configuration().offer(configuration)) {
                Events.info(LOG, "configuration_in_force", "revision", configuration.revision(), "source", "store");
            } else if (configuration.revision() < tables.configuration().revision()) {
                writeAgain(stored, configuration.revision());
            }
        } catch (ServingException damaged) {
            damagedValue = stored.value();
            metrics.recordStoreFailure("damaged");
            Events.warn(
                    LOG,
                    "configuration_damaged",
                    "version",
                    stored.version(),
                    "failure",
                    damaged.getMessage(),
                    "in_force",
                    tables.configuration().revision());
        }
    }

    /** Replaces an older configuration in a restored store, unless the read was stale and the version has changed. */
    private void writeAgain(StoredObject stored, long storedRevision) {
        tables.configuration().active().ifPresent(active -> {
            Events.warn(
                    LOG,
                    "configuration_written_again",
                    "revision",
                    active.revision(),
                    "stored_revision",
                    storedRevision,
                    "version",
                    stored.version());
            health.track(store.update(
                            ConfigurationEditor.KIND, ConfigurationEditor.NAME, stored.version(), Json.write(active)))
                    .onFailure(failure -> metrics.recordStoreFailure("write_again"));
        });
    }

    private void writeAgainIfMissing() {
        tables.configuration().active().ifPresent(active -> {
            Events.warn(LOG, "configuration_written_again", "revision", active.revision(), "stored_revision", "none");
            health.track(store.create(ConfigurationEditor.KIND, ConfigurationEditor.NAME, Json.write(active)))
                    .onFailure(failure -> metrics.recordStoreFailure("write_again"));
        });
    }

    /**
     * Stores an initial configuration, unless a configuration is active or stored already.
     *
     * @param initial the initial configuration
     * @param bytes its serialized form
     * @return a future that completes once the store responded, and fails if the call failed
     */
    public Future<Void> createIfAbsent(Configuration initial, byte[] bytes) {
        Optional<Configuration> active = tables.configuration().active();
        return active.isPresent()
                ? Future.succeededFuture()
                : store.create(ConfigurationEditor.KIND, ConfigurationEditor.NAME, bytes)
                        .mapEmpty();
    }
}
