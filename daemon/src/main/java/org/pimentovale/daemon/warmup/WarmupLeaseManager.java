package org.pimentovale.daemon.warmup;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.caller.FencingTokenSource;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.history.LeaseSettlement;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.schedule.PoolScheduler;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Acquires the warm-up leases of cold endpoints for which this instance has demand, renews them and releases them.
 *
 * <p>Invariants: a lease expires one lease duration after this instance sent the write that acquired or renewed it; a
 * lease of another instance is taken over only after its object remained unchanged for the lease duration plus a
 * margin, or, if the store was restored from a backup, after that time since the restore was noticed. These times are
 * measured on this instance's monotonic clock; no wall clocks are compared. Thread safe.
 */
public final class WarmupLeaseManager implements FencingTokenSource {
    private static final Logger LOG = Logger.getLogger(WarmupLeaseManager.class);
    private static final String KIND = "warmups";
    private static final long LEASE_DURATION_MS = 3_000;
    private static final long TAKEOVER_MARGIN_MS = 1_000;
    private static final long RENEWAL_PERIOD_MS = 1_000;
    private static final int CHECK_PERIOD_MS = 50;
    private static final long DELAY_PER_RANK_MS = 50;
    private static final long MAX_RANK_DELAY_MS = 1_000;
    private static final long DEMAND_WINDOW_MS = 2_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final ServingTables tables;
    private final String self;
    private final LeaseSettlement settlement = new LeaseSettlement(LEASE_DURATION_MS + TAKEOVER_MARGIN_MS);
    private volatile boolean stopping;
    private final Map<String, EndpointLeaseState> states = new ConcurrentHashMap<>();

    /** The state of one endpoint's lease as seen by this instance. Guarded by its own monitor. */
    private static final class EndpointLeaseState {
        private EndpointIncarnation endpoint;
        private long demandSinceMs;
        private boolean callInProgress;
        private boolean held;
        private long version;
        private long era;
        private long validUntilMs;
        private long lastCallMs;
        private WarmupLease lease;
        private StoreRevision otherHolderRevision = StoreRevision.NONE;
        private long otherHolderSinceMs;

        private boolean validAt(long nowMs) {
            return held && nowMs < validUntilMs;
        }
    }

    /**
     * Creates a manager that holds no lease.
     *
     * @param vertx runs the timers
     * @param store holds the leases
     * @param health records the outcome of store calls and tells whether the store is available
     * @param tables the shared tables
     */
    public WarmupLeaseManager(Vertx vertx, ObjectStore store, StoreHealth health, ServingTables tables) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.tables = tables;
        this.self = tables.members().self().name();
    }

    /**
     * Reads from the store which incarnations are warm, and starts to acquire leases.
     *
     * @return a future that completes once the store call has ended; never fails
     */
    public Future<Void> start() {
        vertx.setPeriodic(CHECK_PERIOD_MS, fired -> check());
        return loadWarmEndpoints();
    }

    private Future<Void> loadWarmEndpoints() {
        return health.track(store.list(KIND))
                .onSuccess(objects -> objects.forEach(this::recordIfWarm))
                .onFailure(failure -> vertx.setTimer(LEASE_DURATION_MS, fired -> loadWarmEndpoints()))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }

    private void recordIfWarm(StoredObject object) {
        parse(object).filter(lease -> lease.state() == WarmupLease.State.WARM).ifPresent(lease -> tables.warmth()
                .recordWarm(new EndpointIncarnation(object.name().replace('_', ':'), lease.incarnation())));
    }

    private static Optional<WarmupLease> parse(StoredObject object) {
        try {
            return Optional.of(WarmupLease.parse(object.value()));
        } catch (ServingException damaged) {
            Events.warn(LOG, "warmup_lease_damaged", "name", object.name(), "failure", damaged.getMessage());
            return Optional.empty();
        }
    }

    /** Acquires, renews, publishes or releases the lease of each endpoint as needed; called periodically. */
    void check() {
        if (stopping) {
            return;
        }
        List<EndpointIncarnation> cold = tables.warmth().coldEndpoints();
        for (EndpointIncarnation endpoint : cold) {
            EndpointLeaseState state = states.computeIfAbsent(endpoint.address(), unused -> new EndpointLeaseState());
            synchronized (state) {
                checkCold(endpoint, state);
            }
        }
        states.values().forEach(state -> {
            synchronized (state) {
                if (state.held && !state.callInProgress && tables.warmth().isReportedWarm(state.endpoint)) {
                    writeEnd(state, WarmupLease.State.WARM);
                }
            }
        });
    }

    private void checkCold(EndpointIncarnation endpoint, EndpointLeaseState state) {
        long nowMs = tables.clock().nowMs();
        if (!endpoint.equals(state.endpoint)) {
            state.endpoint = endpoint;
            state.held = false;
            state.demandSinceMs = 0;
        }
        Optional<PoolScheduler> pool = poolWithDemand(endpoint.address());
        if (pool.isEmpty()) {
            state.demandSinceMs = 0;
            if (state.held && !state.callInProgress) {
                writeEnd(state, WarmupLease.State.FREE);
            }
            return;
        }
        if (state.demandSinceMs == 0) {
            state.demandSinceMs = nowMs;
        }
        if (state.callInProgress) {
            return;
        }
        boolean storeRestored = store.era() != state.era;
        long renewalPeriodMs = storeRestored ? RENEWAL_PERIOD_MS / 2 : RENEWAL_PERIOD_MS;
        if (state.held && nowMs - state.lastCallMs >= renewalPeriodMs) {
            // The version of an expired lease, or of one that a restored store lost, may be that of another's lease.
            if (state.validAt(nowMs) && !storeRestored) {
                renew(state);
            } else {
                readLease(state);
            }
        }
        long rankDelayMs =
                Math.min(MAX_RANK_DELAY_MS, DELAY_PER_RANK_MS * tables.members().rank(endpoint.address()));
        boolean rankDelayElapsed = nowMs - state.demandSinceMs >= rankDelayMs;
        boolean readDue = state.otherHolderRevision.equals(StoreRevision.NONE)
                || nowMs - state.otherHolderSinceMs >= LEASE_DURATION_MS + TAKEOVER_MARGIN_MS
                || nowMs - state.lastCallMs >= RENEWAL_PERIOD_MS / 2;
        if (!state.held && rankDelayElapsed && readDue && health.available()) {
            readLease(state);
        }
    }

    private Optional<PoolScheduler> poolWithDemand(String address) {
        return tables.schedulers().stream()
                .filter(pool -> pool.pool().coldLimit() < pool.pool().limit())
                .filter(pool -> pool.subset().contains(address) && pool.hasDemand(DEMAND_WINDOW_MS))
                .findFirst();
    }

    private void readLease(EndpointLeaseState state) {
        state.callInProgress = true;
        state.lastCallMs = tables.clock().nowMs();
        EndpointIncarnation endpoint = state.endpoint;
        long eraBefore = store.era();
        health.track(store.read(KIND, objectName(endpoint))).onComplete(result -> {
            synchronized (state) {
                state.callInProgress = false;
                boolean current = eraBefore == 0 || store.era() == eraBefore;
                if (result.succeeded() && current && endpoint.equals(state.endpoint)) {
                    acquireIfAvailable(state, result.result());
                }
            }
        });
    }

    private void acquireIfAvailable(EndpointLeaseState state, Optional<StoredObject> object) {
        Optional<WarmupLease> lease = object.flatMap(WarmupLeaseManager::parse);
        long version = object.map(StoredObject::version).orElse(0L);
        boolean sameIncarnation = lease.isPresent() && lease.get().incarnation().equals(state.endpoint.incarnation());
        if (sameIncarnation && lease.get().state() == WarmupLease.State.WARM) {
            tables.warmth().recordWarm(state.endpoint);
            return;
        }
        // A lease for another incarnation also counts: it may be newer than the incarnation known to this instance.
        boolean heldByOther = lease.isPresent()
                && lease.get().state() == WarmupLease.State.HELD
                && !lease.get().holder().equals(self);
        long nowMs = tables.clock().nowMs();
        recordEra(nowMs);
        boolean ownLeaseValid = state.validAt(nowMs);
        if (heldByOther && !ownLeaseValid && !mayTakeOver(state, version, nowMs)) {
            endHeld(state);
            return;
        }
        if (!settlement.allows(ownLeaseValid ? state.validUntilMs : nowMs, nowMs)) {
            Events.info(
                    LOG,
                    "warmup_lease_awaited",
                    "endpoint",
                    state.endpoint.address(),
                    "era",
                    store.era(),
                    "version",
                    version,
                    "remaining_ms",
                    settlement.remainingMs(nowMs));
            endHeld(state);
            return;
        }
        boolean uninterrupted = ownLeaseValid || (state.held && version == state.version && store.era() == state.era);
        state.otherHolderRevision = StoreRevision.NONE;
        long renewals = lease.map(WarmupLease::renewals).orElse(0L) + 1;
        WarmupLease newLease = new WarmupLease(
                WarmupLease.SCHEMA, state.endpoint.incarnation(), self, WarmupLease.State.HELD, renewals);
        write(state, version, newLease, uninterrupted);
    }

    private void recordEra(long nowMs) {
        if (settlement.recordEra(store.era(), nowMs)) {
            Events.warn(
                    LOG, "warmup_store_restored", "era", store.era(), "remaining_ms", settlement.remainingMs(nowMs));
        }
    }

    /** Tells whether the lease object of another instance has remained unchanged for long enough. */
    private boolean mayTakeOver(EndpointLeaseState state, long version, long nowMs) {
        StoreRevision revision = new StoreRevision(store.era(), version);
        if (!revision.equals(state.otherHolderRevision)) {
            state.otherHolderRevision = revision;
            state.otherHolderSinceMs = nowMs;
        }
        return nowMs - state.otherHolderSinceMs >= LEASE_DURATION_MS + TAKEOVER_MARGIN_MS;
    }

    private void endHeld(EndpointLeaseState state) {
        if (state.held) {
            state.held = false;
            tables.warmth().recordLeaseEnd(state.endpoint.address());
        }
    }

    private void renew(EndpointLeaseState state) {
        write(state, state.version, state.lease.withState(WarmupLease.State.HELD), true);
    }

    private void write(EndpointLeaseState state, long version, WarmupLease newLease, boolean renewal) {
        state.callInProgress = true;
        long sentMs = tables.clock().nowMs();
        state.lastCallMs = sentMs;
        EndpointIncarnation endpoint = state.endpoint;
        byte[] value = Json.write(newLease);
        Future<WriteResult> written = version == 0
                ? store.create(KIND, objectName(endpoint), value)
                : store.update(KIND, objectName(endpoint), version, value);
        health.track(written).onComplete(result -> {
            synchronized (state) {
                state.callInProgress = false;
                if (!result.succeeded() || !endpoint.equals(state.endpoint)) {
                    return;
                }
                long nowMs = tables.clock().nowMs();
                recordEra(nowMs);
                if (result.result() instanceof WriteResult.Accepted accepted
                        && settlement.allows(state.validAt(nowMs) ? state.validUntilMs : nowMs, nowMs)) {
                    recordHeld(state, accepted.object().version(), newLease, renewal, sentMs);
                } else if (!state.validAt(nowMs) || store.era() == state.era) {
                    // A valid lease that only a restored store does not confirm is written again by the next check.
                    endHeld(state);
                }
            }
        });
    }

    private void recordHeld(
            EndpointLeaseState state, long version, WarmupLease newLease, boolean renewal, long sentMs) {
        state.held = true;
        state.lease = newLease;
        state.version = version;
        state.era = store.era();
        state.validUntilMs = sentMs + LEASE_DURATION_MS;
        tables.warmth()
                .recordLease(
                        state.endpoint,
                        renewal,
                        state.validUntilMs,
                        tables.clock().nowMs());
        if (!renewal) {
            Events.info(LOG, "warmup_lease_taken", "endpoint", state.endpoint.address(), "version", version);
        }
    }

    /**
     * Writes that the lease is no longer held. If the write is lost, the lease expires. Nothing is written if a
     * restored store may have assigned the version to the lease of another instance.
     */
    private Future<?> writeEnd(EndpointLeaseState state, WarmupLease.State end) {
        boolean free = end == WarmupLease.State.FREE;
        if (store.era() != state.era || (free && !state.validAt(tables.clock().nowMs()))) {
            endHeld(state);
            return Future.succeededFuture();
        }
        state.callInProgress = true;
        WarmupLease ended = state.lease.withState(end);
        if (free) {
            tables.warmth().recordLeaseEnd(state.endpoint.address());
        }
        return health.track(store.update(KIND, objectName(state.endpoint), state.version, Json.write(ended)))
                .onComplete(result -> {
                    synchronized (state) {
                        state.callInProgress = false;
                        boolean settled = result.succeeded()
                                || tables.clock().nowMs() - state.lastCallMs > LEASE_DURATION_MS + TAKEOVER_MARGIN_MS;
                        if (settled) {
                            state.held = false;
                        }
                    }
                });
    }

    /**
     * Stops acquiring leases and releases those held, so that other instances need not wait until they expire.
     *
     * @return a future that completes once each store call has ended; never fails
     */
    public Future<Void> releaseAll() {
        stopping = true;
        List<Future<?>> writes = new ArrayList<>();
        states.values().forEach(state -> {
            synchronized (state) {
                if (state.held && !state.callInProgress) {
                    writes.add(writeEnd(state, WarmupLease.State.FREE));
                }
            }
        });
        return writes.isEmpty()
                ? Future.succeededFuture()
                : Future.join(writes).<Void>mapEmpty().otherwiseEmpty();
    }

    private static String objectName(EndpointIncarnation endpoint) {
        return endpoint.address().replace(':', '_');
    }

    @Override
    public Optional<Long> tokenOf(String address) {
        EndpointLeaseState state = states.get(address);
        if (state == null) {
            return Optional.empty();
        }
        synchronized (state) {
            return state.held ? Optional.of(state.version) : Optional.empty();
        }
    }
}
