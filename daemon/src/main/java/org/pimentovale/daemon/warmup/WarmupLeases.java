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
 * Takes the warm-up leases of cold endpoints for which this instance has work, renews them, and gives them back.
 *
 * <p>Invariants: the lease ends on this instance's clock one lease time after the sending of the write that took it; a
 * lease of another instance is taken over only after its object stood unchanged for longer than the lease time and a
 * margin, on this instance's clock. No wall clocks are compared. Thread safe.
 */
public final class WarmupLeases implements FencingTokenSource {
    private static final Logger LOG = Logger.getLogger(WarmupLeases.class);
    private static final String KIND = "warmups";
    private static final long LEASE_MS = 3_000;
    private static final long TAKEOVER_MARGIN_MS = 1_000;
    private static final long RENEWAL_MS = 1_000;
    private static final int PERIOD_MS = 50;
    private static final long RANK_STEP_MS = 50;
    private static final long LONGEST_RANK_DELAY_MS = 1_000;
    private static final long DEMAND_MS = 2_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final ServingTables tables;
    private final String self;
    private volatile boolean leaving;
    private final Map<String, Progress> progress = new ConcurrentHashMap<>();

    /** What this instance does about one endpoint. Guarded by itself. */
    private static final class Progress {
        private EndpointIncarnation endpoint;
        private long demandedSinceMs;
        private boolean writing;
        private boolean held;
        private long version;
        private long writtenMs;
        private WarmupLease lease;
        private long foreignVersion;
        private long foreignSinceMs;
    }

    /**
     * Creates leases; none is held.
     *
     * @param vertx runs timers
     * @param store holds the leases
     * @param health tells whether the store answers
     * @param tables the shared tables
     */
    public WarmupLeases(Vertx vertx, ObjectStore store, StoreHealth health, ServingTables tables) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.tables = tables;
        this.self = tables.members().self().name();
    }

    /**
     * Learns from the store which incarnations are warm, and begins to take leases.
     *
     * @return completes once the store has answered or failed
     */
    public Future<Void> start() {
        vertx.setPeriodic(PERIOD_MS, fired -> check());
        return learnWarm();
    }

    private Future<Void> learnWarm() {
        return health.track(store.list(KIND))
                .onSuccess(objects -> objects.forEach(this::learn))
                .onFailure(failure -> vertx.setTimer(LEASE_MS, fired -> learnWarm()))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }

    private void learn(StoredObject object) {
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

    /** Looks at every endpoint once; called periodically. */
    void check() {
        if (leaving) {
            return;
        }
        List<EndpointIncarnation> cold = tables.warmth().coldEndpoints();
        for (EndpointIncarnation endpoint : cold) {
            Progress state = progress.computeIfAbsent(endpoint.address(), unused -> new Progress());
            synchronized (state) {
                checkCold(endpoint, state);
            }
        }
        progress.values().forEach(state -> {
            synchronized (state) {
                if (state.held && !state.writing && tables.warmth().isReportedWarm(state.endpoint)) {
                    publish(state, WarmupLease.State.WARM);
                }
            }
        });
    }

    private void checkCold(EndpointIncarnation endpoint, Progress state) {
        long nowMs = tables.clock().nowMs();
        if (!endpoint.equals(state.endpoint)) {
            state.endpoint = endpoint;
            state.held = false;
            state.demandedSinceMs = 0;
        }
        Optional<PoolScheduler> pool = poolInNeed(endpoint.address());
        if (pool.isEmpty()) {
            state.demandedSinceMs = 0;
            if (state.held && !state.writing) {
                publish(state, WarmupLease.State.FREE);
            }
            return;
        }
        if (state.demandedSinceMs == 0) {
            state.demandedSinceMs = nowMs;
        }
        if (state.writing) {
            return;
        }
        if (state.held && nowMs - state.writtenMs >= RENEWAL_MS) {
            renew(state);
        }
        long rankDelayMs =
                Math.min(LONGEST_RANK_DELAY_MS, RANK_STEP_MS * tables.members().rank(endpoint.address()));
        boolean overdue = nowMs - state.demandedSinceMs >= rankDelayMs;
        boolean foreignMayHaveEnded = state.foreignVersion == 0
                || nowMs - state.foreignSinceMs >= LEASE_MS + TAKEOVER_MARGIN_MS
                || nowMs - state.writtenMs >= RENEWAL_MS / 2;
        if (!state.held && overdue && foreignMayHaveEnded && health.available()) {
            inspect(state);
        }
    }

    private Optional<PoolScheduler> poolInNeed(String address) {
        return tables.schedulers().stream()
                .filter(pool -> pool.pool().coldLimit() < pool.pool().limit())
                .filter(pool -> pool.subset().contains(address) && pool.hasDemand(DEMAND_MS))
                .findFirst();
    }

    private void inspect(Progress state) {
        state.writing = true;
        state.writtenMs = tables.clock().nowMs();
        EndpointIncarnation endpoint = state.endpoint;
        health.track(store.read(KIND, name(endpoint))).onComplete(result -> {
            synchronized (state) {
                state.writing = false;
                if (result.succeeded() && endpoint.equals(state.endpoint)) {
                    decide(state, result.result());
                }
            }
        });
    }

    private void decide(Progress state, Optional<StoredObject> object) {
        Optional<WarmupLease> lease = object.flatMap(WarmupLeases::parse);
        long version = object.map(StoredObject::version).orElse(0L);
        boolean sameIncarnation = lease.isPresent() && lease.get().incarnation().equals(state.endpoint.incarnation());
        if (sameIncarnation && lease.get().state() == WarmupLease.State.WARM) {
            tables.warmth().recordWarm(state.endpoint);
            return;
        }
        // Also a lease for another incarnation may be the newer one: this instance's own news may be stale.
        boolean foreign = lease.isPresent()
                && lease.get().state() == WarmupLease.State.HELD
                && !lease.get().holder().equals(self);
        if (foreign) {
            long nowMs = tables.clock().nowMs();
            if (version != state.foreignVersion) {
                state.foreignVersion = version;
                state.foreignSinceMs = nowMs;
            }
            if (nowMs - state.foreignSinceMs < LEASE_MS + TAKEOVER_MARGIN_MS) {
                return;
            }
        }
        state.foreignVersion = 0;
        long renewals = lease.map(WarmupLease::renewals).orElse(0L) + 1;
        WarmupLease wanted = new WarmupLease(
                WarmupLease.SCHEMA, state.endpoint.incarnation(), self, WarmupLease.State.HELD, renewals);
        write(state, version, wanted, false);
    }

    private void renew(Progress state) {
        write(state, state.version, state.lease.with(WarmupLease.State.HELD), true);
    }

    private void write(Progress state, long version, WarmupLease wanted, boolean renewal) {
        state.writing = true;
        long sentMs = tables.clock().nowMs();
        state.writtenMs = sentMs;
        EndpointIncarnation endpoint = state.endpoint;
        byte[] value = Json.write(wanted);
        Future<WriteResult> written = version == 0
                ? store.create(KIND, name(endpoint), value)
                : store.update(KIND, name(endpoint), version, value);
        health.track(written).onComplete(result -> {
            synchronized (state) {
                state.writing = false;
                boolean accepted = result.succeeded() && result.result() instanceof WriteResult.Accepted;
                boolean current = endpoint.equals(state.endpoint);
                if (accepted && current) {
                    state.held = true;
                    state.lease = wanted;
                    state.version =
                            ((WriteResult.Accepted) result.result()).object().version();
                    tables.warmth()
                            .recordLease(
                                    endpoint,
                                    renewal,
                                    sentMs + LEASE_MS,
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

    /** Writes that the lease is no longer held; where the write is lost, the lease ends by itself. */
    private Future<WriteResult> publish(Progress state, WarmupLease.State end) {
        state.writing = true;
        WarmupLease ended = state.lease.with(end);
        if (end == WarmupLease.State.FREE) {
            tables.warmth().recordLeaseEnd(state.endpoint.address());
        }
        return health.track(store.update(KIND, name(state.endpoint), state.version, Json.write(ended)))
                .onComplete(result -> {
                    synchronized (state) {
                        state.writing = false;
                        boolean settled = result.succeeded()
                                || tables.clock().nowMs() - state.writtenMs > LEASE_MS + TAKEOVER_MARGIN_MS;
                        if (settled) {
                            state.held = false;
                        }
                    }
                });
    }

    /**
     * Gives every held lease back, so that others need not wait for its end.
     *
     * @return completes once the store answered, never fails
     */
    public Future<Void> giveBack() {
        leaving = true;
        List<Future<?>> writes = new ArrayList<>();
        progress.values().forEach(state -> {
            synchronized (state) {
                if (state.held && !state.writing) {
                    writes.add(publish(state, WarmupLease.State.FREE));
                }
            }
        });
        return writes.isEmpty()
                ? Future.succeededFuture()
                : Future.join(writes).<Void>mapEmpty().otherwiseEmpty();
    }

    private static String name(EndpointIncarnation endpoint) {
        return endpoint.address().replace(':', '_');
    }

    @Override
    public Optional<Long> tokenOf(String address) {
        Progress state = progress.get(address);
        if (state == null) {
            return Optional.empty();
        }
        synchronized (state) {
            return state.held ? Optional.of(state.version) : Optional.empty();
        }
    }
}
