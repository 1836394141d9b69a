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
import org.pimentovale.json.Json;
import org.pimentovale.kernel.claim.ClaimRecord;
import org.pimentovale.kernel.claim.ClaimState;
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
 * replaced only if its owner has released it. A write without a response is retried, unchanged, until the store shows
 * whether it took effect. Thread safe.
 */
public final class ClaimLedger {
    private static final Logger LOG = Logger.getLogger(ClaimLedger.class);
    private static final String KIND = "claims";
    private static final int RETRY_DELAY_MS = 100;
    private static final int BACKGROUND_RETRY_DELAY_MS = 500;
    private static final int RECORD_TIMEOUT_MS = 1_000;
    private static final int MAX_WATCH_MS = 2_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final DaemonMetrics metrics;
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
     * @param owner name of this instance
     */
    public ClaimLedger(
            Vertx vertx,
            ObjectStore store,
            StoreHealth health,
            MonotonicClock clock,
            DaemonMetrics metrics,
            String owner) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.clock = clock;
        this.metrics = metrics;
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
     * @param deadlineAtMs deadline of the request in milliseconds on the monotonic clock
     * @return the claim: held by the attempt, or done with the response of the first run; fails with outcome
     *     {@code not-run} if the attempt must not be sent and nothing ran, and with {@code unknown} if another attempt
     *     may have run
     */
    public Future<HeldClaim> acquire(String name, String attempt, String digest, long deadlineAtMs) {
        if (!health.available()) {
            return Future.failedFuture(
                    ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "the store does not respond"));
        }
        ClaimRecord newClaim =
                new ClaimRecord(ClaimRecord.SCHEMA, attempt, owner, ClaimState.CLAIMED, digest, 0, Optional.empty());
        return write(name, 0, newClaim, deadlineAtMs);
    }

    private Future<HeldClaim> write(String name, long version, ClaimRecord newClaim, long deadlineAtMs) {
        return put(name, version, newClaim).transform(result -> {
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

    private Future<WriteResult> put(String name, long version, ClaimRecord claim) {
        byte[] value = Json.write(claim);
        Future<WriteResult> written =
                version == 0 ? store.create(KIND, name, value) : store.update(KIND, name, version, value);
        return health.track(written);
    }

    private Future<HeldClaim> resolve(String name, ClaimRecord newClaim, WriteResult result, long deadlineAtMs) {
        if (result instanceof WriteResult.Accepted accepted) {
            return Future.succeededFuture(new HeldClaim(name, accepted.object().version(), newClaim));
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
            return Future.succeededFuture(new HeldClaim(name, current.get().version(), storedClaim));
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
        return Future.succeededFuture(new HeldClaim(name, current.get().version(), storedClaim));
    }

    /**
     * Waits for the end of the attempt that holds the claim, so that a resent request gets the response of the first
     * run.
     */
    private Future<HeldClaim> awaitCompletion(StoredObject stored, ClaimRecord newClaim, long deadlineAtMs) {
        int watchMs = (int) Math.min(MAX_WATCH_MS, Math.max(1, deadlineAtMs - clock.nowMs() - RETRY_DELAY_MS));
        return store.awaitChange(KIND, stored.name(), stored.version(), watchMs).transform(result -> {
            Optional<StoredObject> changed = result.succeeded() ? result.result() : Optional.empty();
            WriteResult conflict = new WriteResult.Conflict(Optional.of(changed.orElse(stored)));
            return resolve(stored.name(), newClaim, conflict, changed.isPresent() ? deadlineAtMs : Long.MIN_VALUE);
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
        Future<Void> recorded = recordUntilConfirmed(
                claim.name(), claim.version(), claim.claim().withState(state, status, body));
        return Future.any(recorded, vertx.timer(RECORD_TIMEOUT_MS)).mapEmpty();
    }

    private Future<Void> recordUntilConfirmed(String name, long version, ClaimRecord endedClaim) {
        unconfirmedCount.incrementAndGet();
        return writeUntilConfirmed(name, version, endedClaim).andThen(done -> unconfirmedCount.decrementAndGet());
    }

    private Future<Void> writeUntilConfirmed(String name, long version, ClaimRecord endedClaim) {
        return put(name, version, endedClaim).transform(result -> {
            if (result.succeeded()) {
                // A conflict shows that an earlier try of this write took effect, since no other attempt may write a
                // held claim.
                return Future.succeededFuture();
            }
            metrics.recordStoreFailure("claim_record");
            return vertx.timer(BACKGROUND_RETRY_DELAY_MS)
                    .compose(fired -> writeUntilConfirmed(name, version, endedClaim));
        });
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
        return put(name, version, newClaim).transform(result -> {
            if (result.failed()) {
                return vertx.timer(BACKGROUND_RETRY_DELAY_MS)
                        .compose(fired -> releaseIfStored(name, version, newClaim));
            }
            return storedVersion(result.result(), newClaim)
                    .map(storedVersion -> writeUntilConfirmed(
                            name, storedVersion, newClaim.withState(ClaimState.RELEASED, 0, Optional.empty())))
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
