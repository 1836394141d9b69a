package org.pimentovale.gateway.stream;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.feed.StoreSynchronizer;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectReader;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.stream.BuildHistory;
import org.pimentovale.kernel.stream.HistoryCheckpoint;
import org.pimentovale.kernel.stream.RouteHistory;
import org.pimentovale.log.Events;

/**
 * Confirms the history of builds and routes at the store, also for the time before this gateway started.
 *
 * <p>One gateway stores a checkpoint of what it has confirmed from time to time, and each one that confirms it for a
 * stream. A gateway whose own history is too short reads the checkpoint and the changes since, and takes it over if
 * these show no other build and no change of the configuration. Invariants: at most one checkpoint is written per
 * {@link #WRITE_INTERVAL_MS} here; one is taken over at most once. Not thread safe; used on one event loop.
 */
public final class CheckpointedHistory {
    private static final Logger LOG = Logger.getLogger(CheckpointedHistory.class);
    // The store keeps changes for a limited time, within which gateways must have started again.
    private static final long WRITE_INTERVAL_MS = 5_000;
    private static final long OWN_HISTORY_SUFFICES_MS = 60_000;
    private static final int CHANGES_WAIT_MS = 1;
    private static final String OWNER_KEY = "history-checkpoint";

    private final GatewayTables tables;
    private final PlatformStore store;
    private final ObjectReader reader;
    private final StoreSynchronizer synchronizer;
    private final BuildHistory builds;
    private final RouteHistory routes;
    private Optional<Future<Long>> takeOver = Optional.empty();
    private long nextWriteMs = Long.MIN_VALUE;

    /**
     * Creates a history that has read no checkpoint.
     *
     * @param tables provides the time and the owner of the checkpoint
     * @param store stores the checkpoint
     * @param reader decodes changed endpoints
     * @param synchronizer confirms the changes of endpoints and of the configuration
     * @param builds the builds that this gateway observed
     * @param routes the routes that this gateway observed
     */
    public CheckpointedHistory(
            GatewayTables tables,
            PlatformStore store,
            ObjectReader reader,
            StoreSynchronizer synchronizer,
            BuildHistory builds,
            RouteHistory routes) {
        this.tables = tables;
        this.store = store;
        this.reader = reader;
        this.synchronizer = synchronizer;
        this.builds = builds;
        this.routes = routes;
    }

    /** Stores a checkpoint if one is due and this gateway is the one that does. To be called periodically. */
    public void storePeriodically() {
        boolean due = tables.ready() && tables.nowMs() >= nextWriteMs;
        if (due && tables.peers().owner(OWNER_KEY).isEmpty()) {
            nextWriteMs = tables.nowMs() + WRITE_INTERVAL_MS;
            synchronizer.confirmEndpointsAndRoutes().onSuccess(this::write);
        }
    }

    /**
     * Asks the store for the changes of endpoints and of the configuration up to now and applies them.
     *
     * @return how long all changes are known without a gap, in milliseconds; fails if the store does not respond soon
     */
    public Future<Long> confirm() {
        return synchronizer
                .confirmEndpointsAndRoutes()
                .compose(coveredMs -> coveredMs >= OWN_HISTORY_SUFFICES_MS
                        ? Future.succeededFuture(coveredMs)
                        : takeOver().map(addedMs -> coveredMs + addedMs))
                .onSuccess(this::writeIfDue);
    }

    private void writeIfDue(long coveredMs) {
        if (tables.nowMs() >= nextWriteMs) {
            nextWriteMs = tables.nowMs() + WRITE_INTERVAL_MS;
            write(coveredMs);
        }
    }

    private void write(long coveredMs) {
        long nowMs = tables.nowMs();
        long earlierMs = Math.max(0, builds.knownMs(nowMs) - builds.observedMs(nowMs));
        long endpointsMs = Math.min(coveredMs, builds.knownMs(nowMs));
        long knownMs = Math.min(endpointsMs, routes.unchangedMs(earlierMs, nowMs));
        if (knownMs < HistoryCheckpoint.MIN_COVERED_MS) {
            return;
        }
        long storedMs = Math.min(knownMs, BuildHistory.RETENTION_MS);
        HistoryCheckpoint checkpoint = new HistoryCheckpoint(
                synchronizer.revision(ObjectKind.ENDPOINTS),
                synchronizer.revision(ObjectKind.CONFIGURATION),
                storedMs,
                builds.recentBuilds(nowMs - storedMs));
        store.storeCheckpoint(checkpoint)
                .onFailure(
                        failure -> Events.info(LOG, "history_checkpoint_not_stored", "failure", failure.getMessage()));
    }

    /** Returns the time by which the confirmed history grew, zero except once; never fails. */
    private Future<Long> takeOver() {
        if (takeOver.isPresent()) {
            return takeOver.get().isComplete() ? Future.succeededFuture(0L) : takeOver.get();
        }
        Future<Long> reading = store.readCheckpoint()
                .compose(stored -> stored.map(this::takeOver).orElseGet(() -> Future.succeededFuture(0L)))
                .onFailure(failure -> logNotUsed(ServingException.of(failure).getMessage()))
                .otherwise(0L);
        takeOver = Optional.of(reading);
        return reading;
    }

    private Future<Long> takeOver(HistoryCheckpoint checkpoint) {
        Future<ObjectChanges> endpoints = changes(ObjectKind.ENDPOINTS, checkpoint.endpoints());
        Future<ObjectChanges> configuration = changes(ObjectKind.CONFIGURATION, checkpoint.configuration());
        return Future.join(endpoints, configuration)
                .map(both -> takeOver(checkpoint, endpoints.result(), configuration.result()));
    }

    private Future<ObjectChanges> changes(ObjectKind kind, StoreRevision revision) {
        return store.watch(kind, revision.revision(), CHANGES_WAIT_MS).changes();
    }

    private long takeOver(HistoryCheckpoint checkpoint, ObjectChanges endpoints, ObjectChanges configuration) {
        Optional<String> obstacle = obstacle(checkpoint, endpoints, configuration);
        if (obstacle.isPresent() || !synchronizer.addEarlierCoverage(checkpoint.coveredMs())) {
            logNotUsed(obstacle.orElse("changes since the start of this gateway are missing"));
            return 0;
        }
        builds.addEarlier(checkpoint, tables.nowMs());
        Events.info(
                LOG,
                "history_checkpoint_used",
                "covered_ms",
                checkpoint.coveredMs(),
                "endpoints_revision",
                checkpoint.endpoints().revision(),
                "changes",
                endpoints.changes().size());
        return checkpoint.coveredMs();
    }

    /** Returns why a checkpoint tells nothing about the builds before this gateway started, empty if it does. */
    private Optional<String> obstacle(
            HistoryCheckpoint checkpoint, ObjectChanges endpoints, ObjectChanges configuration) {
        if (checkpoint.endpoints().era() != endpoints.revision().era()
                || checkpoint.configuration().era() != configuration.revision().era()) {
            return Optional.of("the store was restored");
        }
        if (!configuration.changes().isEmpty()) {
            return Optional.of("the configuration changed");
        }
        return checkpoint.explains(decode(endpoints)) ? Optional.empty() : Optional.of("another build was listed");
    }

    /** Decodes the changed endpoints. Fails if one cannot be decoded, since its build is unknown. */
    private List<EndpointRecord> decode(ObjectChanges endpoints) {
        List<EndpointRecord> decoded = new ArrayList<>();
        for (ObjectChanges.Change change : endpoints.changes()) {
            decoded.add(reader.endpoint(
                    change.entry().name(), change.entry().value().parse()));
        }
        return decoded;
    }

    private static void logNotUsed(String reason) {
        Events.info(LOG, "history_checkpoint_not_used", "reason", reason);
    }
}
