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
 * margin. Both times are measured on this instance's monotonic clock; no wall clocks are compared. Thread safe.
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
    private volatile boolean stopping;
    private final Map<String, EndpointLeaseState> states = new ConcurrentHashMap<>();

    /** The state of one endpoint's lease as seen by this instance. Guarded by its own monitor. */
    private static final class EndpointLeaseState {
        private EndpointIncarnation endpoint;
        private long demandSinceMs;
        private boolean callInProgress;
        private boolean held;
        private long version;
        private long lastCallMs;
        private WarmupLease lease;
        private long otherHolderVersion;
        private long otherHolderSinceMs;
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
        if (state.held && nowMs - state.lastCallMs >= RENEWAL_PERIOD_MS) {
            renew(state);
        }
        long rankDelayMs =
                Math.min(MAX_RANK_DELAY_MS, DELAY_PER_RANK_MS * tables.members().rank(endpoint.address()));
        boolean rankDelayElapsed = nowMs - state.demandSinceMs >= rankDelayMs;
        boolean readDue = state.otherHolderVersion == 0
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
        health.track(store.read(KIND, objectName(endpoint))).onComplete(result -> {
            synchronized (state) {
                state.callInProgress = false;
                if (result.succeeded() && endpoint.equals(state.endpoint)) {
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
        if (heldByOther) {
            long nowMs = tables.clock().nowMs();
            if (version != state.otherHolderVersion) {
                state.otherHolderVersion = version;
                state.otherHolderSinceMs = nowMs;
            }
            if (nowMs - state.otherHolderSinceMs < LEASE_DURATION_MS + TAKEOVER_MARGIN_MS) {
                return;
            }
        }
        state.otherHolderVersion = 0;
        long renewals = lease.map(WarmupLease::renewals).orElse(0L) + 1;
        WarmupLease newLease = new WarmupLease(
                WarmupLease.SCHEMA, state.endpoint.incarnation(), self, WarmupLease.State.HELD, renewals);
        write(state, version, newLease, false);
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
                boolean accepted = result.succeeded() && result.result() instanceof WriteResult.Accepted;
                boolean current = endpoint.equals(state.endpoint);
                if (accepted && current) {
                    state.held = true;
                    state.lease = newLease;
                    state.version =
                            ((WriteResult.Accepted) result.result()).object().version();
                    tables.warmth()
                            .recordLease(
                                    endpoint,
                                    renewal,
                                    sentMs + LEASE_DURATION_MS,
                                    tables.clock().nowMs());
                    if (!renewal) {
                        Events.info(
                                LOG, "warmup_lease_taken", "endpoint", endpoint.address(), "version", state.version);
                    }
                } else if (result.succeeded() && current) {
                    state.held = false;
                    tables.warmth().recordLeaseEnd(endpoint.address());
                }
            }
        });
    }

    /** Writes that the lease is no longer held. If the write is lost, the lease expires. */
    private Future<WriteResult> writeEnd(EndpointLeaseState state, WarmupLease.State end) {
        state.callInProgress = true;
        WarmupLease ended = state.lease.withState(end);
        if (end == WarmupLease.State.FREE) {
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
