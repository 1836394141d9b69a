package org.pimentovale.daemon.configuration;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ServingException;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.change.ConfigurationEditor;
import org.pimentovale.table.Configuration;

/**
 * Brings accepted configurations from the store into force.
 *
 * <p>A watch brings them at once; since a watch may go silent, a read at a bounded rate over all instances finds what a
 * watch missed, and the first instance to find it tells the others. Invariant: a value that cannot be read changes
 * nothing. Thread safe.
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
    private volatile long damagedVersion;

    /**
     * Creates a watch that is not started.
     *
     * @param vertx runs timers
     * @param store holds the configuration
     * @param health is told how calls end
     * @param tables the shared tables
     * @param metrics counts calls without an answer
     * @param random spreads the reads of several instances; thread safe
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
     * Begins to watch and to read.
     *
     * @return completes once the first read has ended, whether or not the store answered
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
                result.result().ifPresent(this::apply);
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
        if (stored.version() == damagedVersion) {
            return;
        }
        try {
            Configuration configuration = Configuration.parse(stored.value());
            storedVersion = Math.max(storedVersion, stored.version());
            if (tables.configuration().offer(configuration)) {
                Events.info(LOG, "configuration_in_force", "revision", configuration.revision(), "source", "store");
            }
        } catch (ServingException damaged) {
            damagedVersion = stored.version();
            storedVersion = Math.max(storedVersion, stored.version());
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

    /**
     * Puts tables in force where the store holds no configuration yet.
     *
     * @param initial the first configuration
     * @param bytes its stored form
     * @return completes once the store answered
     */
    public Future<Void> createIfAbsent(Configuration initial, byte[] bytes) {
        Optional<Configuration> active = tables.configuration().active();
        return active.isPresent()
                ? Future.succeededFuture()
                : store.create(ConfigurationEditor.KIND, ConfigurationEditor.NAME, bytes)
                        .mapEmpty();
    }
}
