package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.hash.Sha256;
import org.pimentovale.kernel.claim.ClaimRecord;
import org.pimentovale.kernel.claim.ClaimState;
import org.pimentovale.kernel.history.RestoreSettlement.Verdict;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Claims idempotency keys in the platform's store, so that a request with a key runs at most once across all entry
 * instances.
 *
 * <p>Invariants: an attempt is sent only after the store has confirmed its own claim; the claim of another attempt is
 * replaced only if its owner has released it; after a restore of the store, {@link ClaimRecovery} has to allow it. A
 * write without a response is retried, unchanged, until the store shows whether it took effect. Thread safe.
 */
public final class ClaimLedger {
    private static final Logger LOG = Logger.getLogger(ClaimLedger.class);
    private static final int RETRY_DELAY_MS = 100;
    private static final int BACKGROUND_RETRY_DELAY_MS = 500;
    private static final int RECORD_TIMEOUT_MS = 1_000;
    private static final int MAX_WATCH_MS = 2_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final DaemonMetrics metrics;
    private final ClaimRecovery recovery;
    private final ClaimWriter writer;
    private final String owner;
    private final AtomicInteger unconfirmedCount = new AtomicInteger();

    /**
     * Creates a ledger.
     *
     * @param vertx runs timers
     * @param store stores the claims
     * @param health tells whether the store is available
     * @param clock clock of the deadlines
     * @param metrics counts failed store calls
     * @param recovery remembers the claims, and decides on them after a restore of the store
     * @param owner name of this instance
     */
    public ClaimLedger(
            Vertx vertx,
            ObjectStore store,
            StoreHealth health,
            MonotonicClock clock,
            DaemonMetrics metrics,
            ClaimRecovery recovery,
            String owner) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.clock = clock;
        this.metrics = metrics;
        this.recovery = recovery;
        this.writer = recovery.writer();
        this.owner = owner;
    }

    /**
     * Returns the name of the stored claim of a key.
     *
     * @param workspace workspace of the customer
     * @param kind kind of the request
     * @param key idempotency key sent by the caller
     * @return a SHA-256 digest in hexadecimal digits
     */
    public static String claimName(String workspace, String kind, String key) {
        return Sha256.hex((workspace + '\n' + kind + '\n' + key).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Claims a key for an attempt. If another attempt holds the claim, waits up to 2 s for its end, but not
     * beyond the deadline.
     *
     * @param name name of the claim, see {@link #claimName}
     * @param attempt identifier of the attempt; must be unique
     * @param digest fingerprint of the request
     * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, empty if it does not tell
     * @param deadlineAtMs deadline of the request in milliseconds on the monotonic clock
     * @return the claim: held by the attempt, or done with the response of the first run; fails with outcome
     *     {@code not-run} if the attempt must not be sent and nothing ran, and with {@code unknown} if another attempt
     *     may have run
     */
    public Future<HeldClaim> acquire(
            String name, String attempt, String digest, Optional<Long> keyCreatedAtMs, long deadlineAtMs) {
        if (!health.available()) {
            return Future.failedFuture(
                    ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "the store does not respond"));
        }
        ClaimRecord newClaim =
                new ClaimRecord(ClaimRecord.SCHEMA, attempt, owner, ClaimState.CLAIMED, digest, 0, Optional.empty());
        Verdict verdict = recovery.judge(name, keyCreatedAtMs);
        Future<HeldClaim> acquired = verdict == Verdict.CLAIMABLE
                ? write(name, 0, newClaim, deadlineAtMs)
                : findEarlierRun(name, newClaim, verdict, deadlineAtMs);
        return acquired.compose(held -> confirm(held, newClaim, keyCreatedAtMs));
    }

    /** Returns the response of the first run if the store still holds it. */
    private Future<HeldClaim> findEarlierRun(String name, ClaimRecord newClaim, Verdict verdict, long deadlineAtMs) {
        Future<Optional<StoredObject>> read = health.track(store.read(ClaimWriter.KIND, name))
                .recover(failure -> Future.failedFuture(
                        ServingException.unknown(ErrorCode.STORE_UNAVAILABLE, String.valueOf(failure.getMessage()))));
        return read.compose(object -> {
            boolean found = object.filter(
                            stored -> !ClaimRecord.parse(stored.value()).state().claimable())
                    .isPresent();
            return found
                    ? resolve(name, newClaim, new WriteResult.Conflict(object), deadlineAtMs)
                    : Future.failedFuture(refusal(verdict));
        });
    }

    private ServingException refusal(Verdict verdict) {
        return verdict == Verdict.SETTLING
                ? ServingException.unknown(ErrorCode.STORE_RESTORED, "claims of earlier runs are being written again")
                        .withRetryAfter(recovery.retryAfterMs())
                : ServingException.unknown(ErrorCode.RUN_OUTCOME_UNKNOWN, "the key is older than the restored store");
    }

    /** Gives a new claim back if the store turned out to be restored when it confirmed the claim. */
    private Future<HeldClaim> confirm(HeldClaim held, ClaimRecord newClaim, Optional<Long> keyCreatedAtMs) {
        if (!held.claim().attempt().equals(newClaim.attempt())) {
            return Future.succeededFuture(held);
        }
        // It is remembered first, so that it is among the claims written again if the restore is noticed meanwhile.
        recovery.remember(held);
        Verdict verdict = recovery.judge(held.name(), keyCreatedAtMs);
        if (verdict == Verdict.CLAIMABLE) {
            return Future.succeededFuture(held);
        }
        recordUntilConfirmed(
                held.name(), held.version(), held.claim().withState(ClaimState.RELEASED, 0, Optional.empty()));
        return Future.failedFuture(refusal(verdict));
    }

    /**
     * Tells whether the attempt that holds a claim may still be sent.
     *
     * @param held a claim of an attempt of this instance
     * @return false if another instance may have been given the claim after a restore of the store
     */
    public boolean holds(HeldClaim held) {
        return recovery.holds(held);
    }

    private Future<HeldClaim> write(String name, long version, ClaimRecord newClaim, long deadlineAtMs) {
        return writer.put(name, version, newClaim).transform(result -> {
            if (result.succeeded()) {
                return resolve(name, newClaim, result.result(), deadlineAtMs);
            }
            metrics.recordStoreFailure("claim");
            boolean retry = clock.nowMs() + RETRY_DELAY_MS < deadlineAtMs && health.available();
            if (retry) {
                return vertx.timer(RETRY_DELAY_MS).compose(fired -> write(name, version, newClaim, deadlineAtMs));
            }
            // The write may still take effect. A claim of an attempt that is never sent must not remain in the store.
            releaseUnconfirmed(name, version, newClaim);
            return Future.failedFuture(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "claim not confirmed"));
        });
    }

    private Future<HeldClaim> resolve(String name, ClaimRecord newClaim, WriteResult result, long deadlineAtMs) {
        if (result instanceof WriteResult.Accepted accepted) {
            return Future.succeededFuture(held(name, accepted.object().version(), newClaim));
        }
        Optional<StoredObject> current = ((WriteResult.Conflict) result).current();
        if (current.isEmpty()) {
            return Future.failedFuture(
                    ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "claim removed concurrently"));
        }
        ClaimRecord storedClaim;
        try {
            storedClaim = ClaimRecord.parse(current.get().value());
        } catch (ServingException damaged) {
            return Future.failedFuture(damaged.withOutcome(Outcome.UNKNOWN));
        }
        if (storedClaim.attempt().equals(newClaim.attempt())) {
            return Future.succeededFuture(held(name, current.get().version(), storedClaim));
        }
        if (!storedClaim.digest().equals(newClaim.digest())) {
            return Future.failedFuture(
                    ServingException.notRun(ErrorCode.KEY_REUSED, "the key was used for another request"));
        }
        if (storedClaim.state().claimable()) {
            return write(name, current.get().version(), newClaim, deadlineAtMs);
        }
        if (storedClaim.state() == ClaimState.CLAIMED && clock.nowMs() < deadlineAtMs) {
            return awaitCompletion(current.get(), newClaim, deadlineAtMs);
        }
        if (storedClaim.state().refusalCode().isPresent()) {
            return Future.failedFuture(ServingException.unknown(
                    storedClaim.state().refusalCode().get(),
                    "attempt " + storedClaim.attempt() + " by " + storedClaim.owner()));
        }
        return Future.succeededFuture(held(name, current.get().version(), storedClaim));
    }

    private HeldClaim held(String name, long version, ClaimRecord claim) {
        return new HeldClaim(name, version, claim, store.era());
    }

    /**
     * Waits for the end of the attempt that holds the claim, so that a resent request gets the response of the first
     * run.
     */
    private Future<HeldClaim> awaitCompletion(StoredObject stored, ClaimRecord newClaim, long deadlineAtMs) {
        int watchMs = (int) Math.min(MAX_WATCH_MS, Math.max(1, deadlineAtMs - clock.nowMs() - RETRY_DELAY_MS));
        return store.awaitChange(ClaimWriter.KIND, stored.name(), stored.version(), watchMs)
                .transform(result -> {
                    Optional<StoredObject> changed = result.succeeded() ? result.result() : Optional.empty();
                    WriteResult conflict = new WriteResult.Conflict(Optional.of(changed.orElse(stored)));
                    return resolve(
                            stored.name(), newClaim, conflict, changed.isPresent() ? deadlineAtMs : Long.MIN_VALUE);
                });
    }

    /**
     * Records the final state of the attempt that holds a claim. The write is retried until the store confirms it.
     *
     * @param claim claim held by the attempt
     * @param state final state of the attempt
     * @param status HTTP status of the service's response, zero for none
     * @param body body of the service's response, empty if it is not stored
     * @return a future that completes when the state is recorded or after 1 s, while the write is retried in the
     *     background; it never fails
     */
    public Future<Void> record(HeldClaim claim, ClaimState state, int status, Optional<String> body) {
        // A restored store may have assigned the version again; without it, the write depends on the stored attempt.
        long version = recovery.current(claim) ? claim.version() : 0;
        Future<Void> recorded =
                recordUntilConfirmed(claim.name(), version, claim.claim().withState(state, status, body));
        return Future.any(recorded, vertx.timer(RECORD_TIMEOUT_MS)).mapEmpty();
    }

    private Future<Void> recordUntilConfirmed(String name, long version, ClaimRecord endedClaim) {
        unconfirmedCount.incrementAndGet();
        recovery.rememberUnconfirmed(name, endedClaim);
        return writer.writeUntilConfirmed(name, version, endedClaim)
                .andThen(done -> unconfirmedCount.decrementAndGet())
                .mapEmpty();
    }

    /**
     * Retries an unconfirmed claim in the background until it is known whether it took effect, and releases it if so.
     */
    private void releaseUnconfirmed(String name, long version, ClaimRecord newClaim) {
        unconfirmedCount.incrementAndGet();
        Events.warn(LOG, "claim_unconfirmed", "claim", name, "attempt", newClaim.attempt());
        releaseIfStored(name, version, newClaim).onComplete(done -> unconfirmedCount.decrementAndGet());
    }

    private Future<Void> releaseIfStored(String name, long version, ClaimRecord newClaim) {
        return writer.put(name, version, newClaim).transform(result -> {
            if (result.failed()) {
                return vertx.timer(BACKGROUND_RETRY_DELAY_MS)
                        .compose(fired -> releaseIfStored(name, version, newClaim));
            }
            return storedVersion(result.result(), newClaim)
                    .map(storedVersion -> writer.writeUntilConfirmed(
                                    name, storedVersion, newClaim.withState(ClaimState.RELEASED, 0, Optional.empty()))
                            .<Void>mapEmpty())
                    .orElseGet(Future::succeededFuture);
        });
    }

    /** Returns the version of the attempt's stored claim, or empty if another attempt holds the claim. */
    private static Optional<Long> storedVersion(WriteResult result, ClaimRecord newClaim) {
        if (result instanceof WriteResult.Accepted accepted) {
            return Optional.of(accepted.object().version());
        }
        return ((WriteResult.Conflict) result)
                .current()
                .filter(object -> ClaimRecord.parse(object.value()).attempt().equals(newClaim.attempt()))
                .map(StoredObject::version);
    }

    /**
     * Returns the number of claims whose writes the store has not confirmed.
     *
     * @return the number, for which the daemon waits to reach zero before it exits
     */
    public int unconfirmedCount() {
        return unconfirmedCount.get();
    }
}
