package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.claim.ClaimRecord;
import org.pimentovale.kernel.claim.RememberedClaims;
import org.pimentovale.kernel.claim.RememberedClaims.RememberedClaim;
import org.pimentovale.kernel.history.RestoreSettlement;
import org.pimentovale.kernel.history.RestoreSettlement.Verdict;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Restores the claims that a store has lost when it was restored from a backup, and records in the store when all live
 * instances have done so.
 *
 * <p>Invariants: the claims are remembered before the store can lose them, and the record names only an era in which
 * this instance and its live peers have written their claims again. Thread safe.
 */
public final class ClaimRecovery {
    private static final Logger LOG = Logger.getLogger(ClaimRecovery.class);
    private static final String KIND = "settled-restores";
    private static final String NAME = "claims";
    private static final int CHECK_PERIOD_MS = 1_000;
    /** A claim is not dispatched later, so that a suspended instance does not run a key that others may claim. */
    private static final long MAX_STORE_SILENCE_MS = RestoreSettlement.SETTLING_MS / 2;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final Clock wallClock;
    private final PeerRecoveries peers;
    private final RememberedClaims remembered = new RememberedClaims();
    private final ClaimWriter writer;
    private final RestoreSettlement settlement = new RestoreSettlement();
    private final AtomicBoolean stepInProgress = new AtomicBoolean();
    private volatile long writtenEra;

    /**
     * Creates a recovery that remembers no claim.
     *
     * @param vertx runs the timers
     * @param store stores the claims
     * @param health records the outcome of store calls
     * @param clock monotonic clock
     * @param wallClock clock for the creation times of keys
     * @param metrics counts failed store calls
     * @param peers asks the other instances
     */
    public ClaimRecovery(
            Vertx vertx,
            ObjectStore store,
            StoreHealth health,
            MonotonicClock clock,
            Clock wallClock,
            DaemonMetrics metrics,
            PeerRecoveries peers) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.clock = clock;
        this.wallClock = wallClock;
        this.peers = peers;
        this.writer = new ClaimWriter(vertx, store, health, metrics, remembered);
    }

    /**
     * Starts to look for restores of the store.
     *
     * @return a future that completes when the first check has ended; never fails
     */
    public Future<Void> start() {
        vertx.setPeriodic(CHECK_PERIOD_MS, fired -> check());
        return check();
    }

    /** Takes the next step of the recovery if a restore is not settled and no step is in progress. */
    Future<Void> check() {
        recordEra();
        long era = settlement.era();
        boolean recovered = era <= RestoreSettlement.FIRST_ERA || (writtenEra >= era && !settlement.settling());
        if (recovered || !stepInProgress.compareAndSet(false, true)) {
            return Future.succeededFuture();
        }
        return writeAgain(era)
                .compose(done -> settlement.settling() ? settle(era) : Future.succeededFuture())
                .onComplete(done -> stepInProgress.set(false))
                .otherwiseEmpty();
    }

    private void recordEra() {
        long previousEra = settlement.era();
        long era = store.era();
        if (settlement.recordEra(era, clock.nowMs(), wallClock.millis())) {
            Events.warn(
                    LOG,
                    "claims_store_restored",
                    "era",
                    era,
                    "previous_era",
                    previousEra,
                    "remembered",
                    remembered.newestFirst().size(),
                    "settling_ms",
                    settlement.remainingMs(clock.nowMs()));
        }
    }

    private Future<Boolean> readSettled(long era) {
        return health.track(store.read(KIND, NAME)).map(object -> {
            Optional<SettledRestore> settled = object.flatMap(ClaimRecovery::parse);
            if (settled.isEmpty() || settled.get().era() < era) {
                return false;
            }
            recordSettled(settled.get());
            return true;
        });
    }

    private static Optional<SettledRestore> parse(StoredObject object) {
        try {
            return Optional.of(SettledRestore.parse(object.value()));
        } catch (ServingException damaged) {
            Events.warn(LOG, "settled_restore_damaged", "failure", damaged.getMessage());
            return Optional.empty();
        }
    }

    private void recordSettled(SettledRestore settled) {
        settlement.recordSettled(settled.era(), settled.restoredBeforeMs());
        Events.info(
                LOG,
                "claims_settled",
                "era",
                settled.era(),
                "restored_before_ms",
                settled.restoredBeforeMs(),
                "written_era",
                writtenEra);
    }

    private Future<Void> settle(long era) {
        return readSettled(era).compose(settled -> {
            if (settled || settlement.remainingMs(clock.nowMs()) > 0) {
                return Future.succeededFuture();
            }
            return peers.allWritten(era).compose(written -> written ? writeSettled(era) : Future.succeededFuture());
        });
    }

    /**
     * Writes the remembered claims again, the latest first. A backup that holds a write also holds all earlier ones, so
     * a claim that is found with its known version ends this, if the known versions are all of one era.
     */
    private Future<Void> writeAgain(long era) {
        if (writtenEra >= era) {
            return Future.succeededFuture();
        }
        List<RememberedClaim> claims = remembered.newestFirst();
        boolean ofOneEra = claims.stream()
                        .map(claim -> claim.revision().era())
                        .filter(claimEra -> claimEra != RememberedClaim.UNCONFIRMED.era())
                        .distinct()
                        .count()
                <= 1;
        return writeNext(claims.iterator(), ofOneEra, 0)
                .onSuccess(written -> {
                    writtenEra = Math.max(writtenEra, era);
                    Events.info(
                            LOG, "claims_written_again", "era", era, "checked", written, "remembered", claims.size());
                })
                .mapEmpty();
    }

    private Future<Integer> writeNext(Iterator<RememberedClaim> claims, boolean ofOneEra, int written) {
        if (!claims.hasNext()) {
            return Future.succeededFuture(written);
        }
        RememberedClaim claim = claims.next();
        return writer.writeUntilConfirmed(claim.name(), 0, claim.claim()).compose(found -> {
            boolean inBackup = found.filter(
                            version -> version == claim.revision().revision())
                    .isPresent();
            return inBackup && ofOneEra
                    ? Future.succeededFuture(written + 1)
                    : onNextTurn().compose(turn -> writeNext(claims, ofOneEra, written + 1));
        });
    }

    private Future<Void> onNextTurn() {
        Promise<Void> turn = Promise.promise();
        vertx.runOnContext(run -> turn.complete());
        return turn.future();
    }

    private Future<Void> writeSettled(long era) {
        SettledRestore settled = new SettledRestore(SettledRestore.SCHEMA, era, settlement.restoredBeforeWallMs());
        byte[] value = Json.write(settled);
        return health.track(store.read(KIND, NAME))
                .compose(object -> health.track(
                        object.isEmpty()
                                ? store.create(KIND, NAME, value)
                                : store.update(KIND, NAME, object.get().version(), value)))
                .onSuccess(result -> {
                    // After a conflict the next check reads what another instance has written.
                    if (result instanceof WriteResult.Accepted && store.era() == era) {
                        recordSettled(settled);
                    }
                })
                .mapEmpty();
    }

    /**
     * Returns the era in which this instance has written all claims again that a restored store may have lost.
     *
     * @return the era, zero if there was no restore
     */
    public long writtenEra() {
        return writtenEra;
    }

    /** Decides whether a key without a claim may be claimed, and logs a refusal. */
    Verdict judge(String name, Optional<Long> keyCreatedAtMs) {
        recordEra();
        Verdict verdict = settlement.judge(keyCreatedAtMs);
        if (verdict != Verdict.CLAIMABLE) {
            Events.warn(
                    LOG,
                    "claim_refused",
                    "claim",
                    name,
                    "verdict",
                    verdict,
                    "era",
                    settlement.era(),
                    "key_created_ms",
                    keyCreatedAtMs.map(String::valueOf).orElse("unknown"),
                    "restored_before_ms",
                    settlement.restoredBeforeWallMs(),
                    "remaining_ms",
                    settlement.remainingMs(clock.nowMs()));
        }
        return verdict;
    }

    /** Returns the time after which a key whose verdict is {@link Verdict#SETTLING} may be sent again. */
    long retryAfterMs() {
        return Math.max(CHECK_PERIOD_MS, settlement.remainingMs(clock.nowMs()));
    }

    /** Returns the writer of this instance's claims. */
    ClaimWriter writer() {
        return writer;
    }

    /** Remembers a claim with a confirmed version. */
    void remember(HeldClaim held) {
        remembered.remember(held.name(), new StoreRevision(held.era(), held.version()), held.claim());
    }

    /** Remembers a claim whose write is not confirmed yet. */
    void rememberUnconfirmed(String name, ClaimRecord claim) {
        remembered.remember(name, RememberedClaim.UNCONFIRMED, claim);
    }

    /** Tells whether no other instance can have been given the claim since it was confirmed. */
    boolean current(HeldClaim held) {
        return held.era() == 0 || (store.era() == held.era() && health.knownSinceMs() < MAX_STORE_SILENCE_MS);
    }

    /** Tells whether an attempt may be sent under its claim, and logs if not. */
    boolean holds(HeldClaim held) {
        if (current(held)) {
            return true;
        }
        Events.warn(
                LOG,
                "claim_not_dispatched",
                "claim",
                held.name(),
                "attempt",
                held.claim().attempt(),
                "era",
                store.era(),
                "claim_era",
                held.era(),
                "store_known_since_ms",
                health.knownSinceMs());
        return false;
    }
}
