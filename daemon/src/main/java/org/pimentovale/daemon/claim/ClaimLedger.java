package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.claim.ClaimRecord;
import org.pimentovale.kernel.claim.ClaimState;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Claims idempotency keys in the platform's store, so that a request runs at most once through any entry instance.
 *
 * <p>Invariants: an attempt is sent only after its own claim is known to stand in the store; a claim is taken from
 * another attempt only where its owner has released it. A write without an answer is repeated, unchanged, until the
 * store says whether it took effect. Thread safe.
 */
public final class ClaimLedger {
    private static final Logger LOG = Logger.getLogger(ClaimLedger.class);
    private static final String KIND = "claims";
    private static final int REPEAT_MS = 100;
    private static final int BACKGROUND_REPEAT_MS = 500;
    private static final int RECORD_WAIT_MS = 1_000;
    private static final int LONGEST_WAIT_MS = 2_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final DaemonMetrics metrics;
    private final String owner;
    private final AtomicInteger unsettled = new AtomicInteger();

    /**
     * Creates a ledger.
     *
     * @param vertx runs timers
     * @param store holds the claims
     * @param health tells whether the store answers
     * @param clock the time
     * @param metrics counts calls without an answer
     * @param owner this instance's name
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
     * Returns the name under which a key is claimed.
     *
     * @param workspace the customer's workspace
     * @param kind the kind of request
     * @param key the caller's key
     * @return a hexadecimal digest
     */
    public static String claimName(String workspace, String kind, String key) {
        return digest((workspace + '\n' + kind + '\n' + key).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the SHA-256 digest of bytes.
     *
     * @param bytes the bytes
     * @return hexadecimal digits
     */
    public static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Claims a key for an attempt.
     *
     * @param name the claim's name
     * @param attempt names the attempt; never used before
     * @param digest fingerprint of the request
     * @param deadlineAtMs until when the answer is of use, on the monotonic clock
     * @return the claim: held by the attempt, or done with the first run's answer; fails with outcome {@code not-run}
     *     where the attempt must not be sent and nothing ran, and {@code unknown} where another attempt may have run
     */
    public Future<HeldClaim> acquire(String name, String attempt, String digest, long deadlineAtMs) {
        if (!health.available()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "the store is down"));
        }
        ClaimRecord wanted =
                new ClaimRecord(ClaimRecord.SCHEMA, attempt, owner, ClaimState.CLAIMED, digest, 0, Optional.empty());
        return write(name, 0, wanted, deadlineAtMs);
    }

    private Future<HeldClaim> write(String name, long version, ClaimRecord wanted, long deadlineAtMs) {
        return put(name, version, wanted).transform(result -> {
            if (result.succeeded()) {
                return settle(name, wanted, result.result(), deadlineAtMs);
            }
            metrics.recordStoreFailure("claim");
            boolean repeat = clock.nowMs() + REPEAT_MS < deadlineAtMs && health.available();
            if (repeat) {
                return vertx.timer(REPEAT_MS).compose(fired -> write(name, version, wanted, deadlineAtMs));
            }
            // The write may still take effect; the claim must not be left behind by an attempt that is never sent.
            abandon(name, version, wanted);
            return Future.failedFuture(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "claim not confirmed"));
        });
    }

    private Future<WriteResult> put(String name, long version, ClaimRecord claim) {
        byte[] value = Json.write(claim);
        Future<WriteResult> written =
                version == 0 ? store.create(KIND, name, value) : store.update(KIND, name, version, value);
        return health.watch(written);
    }

    private Future<HeldClaim> settle(String name, ClaimRecord wanted, WriteResult result, long deadlineAtMs) {
        if (result instanceof WriteResult.Accepted accepted) {
            return Future.succeededFuture(new HeldClaim(name, accepted.object().version(), wanted));
        }
        Optional<StoredObject> current = ((WriteResult.Conflict) result).current();
        if (current.isEmpty()) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "claim removed meanwhile"));
        }
        ClaimRecord standing;
        try {
            standing = ClaimRecord.parse(current.get().value());
        } catch (ServingException damaged) {
            return Future.failedFuture(damaged.withOutcome(Outcome.UNKNOWN));
        }
        if (standing.attempt().equals(wanted.attempt())) {
            return Future.succeededFuture(new HeldClaim(name, current.get().version(), standing));
        }
        if (!standing.digest().equals(wanted.digest())) {
            return Future.failedFuture(
                    ServingException.notRun(ErrorCode.KEY_REUSED, "the key belongs to another request"));
        }
        if (standing.state().claimable()) {
            return write(name, current.get().version(), wanted, deadlineAtMs);
        }
        if (standing.state() == ClaimState.CLAIMED && clock.nowMs() < deadlineAtMs) {
            return awaitEnd(current.get(), wanted, deadlineAtMs);
        }
        if (standing.state().refusalCode().isPresent()) {
            return Future.failedFuture(ServingException.unknown(
                    standing.state().refusalCode().get(), "attempt " + standing.attempt() + " by " + standing.owner()));
        }
        return Future.succeededFuture(new HeldClaim(name, current.get().version(), standing));
    }

    /** Waits for the attempt that holds a claim to end, so that a resend gets the first run's answer. */
    private Future<HeldClaim> awaitEnd(StoredObject held, ClaimRecord wanted, long deadlineAtMs) {
        int waitMs = (int) Math.min(LONGEST_WAIT_MS, Math.max(1, deadlineAtMs - clock.nowMs() - REPEAT_MS));
        return store.awaitChange(KIND, held.name(), held.version(), waitMs).transform(result -> {
            Optional<StoredObject> changed = result.succeeded() ? result.result() : Optional.empty();
            WriteResult conflict = new WriteResult.Conflict(Optional.of(changed.orElse(held)));
            return settle(held.name(), wanted, conflict, changed.isPresent() ? deadlineAtMs : Long.MIN_VALUE);
        });
    }

    /**
     * Records how the attempt of a held claim ended. The write is repeated until the store confirms it.
     *
     * @param claim the claim
     * @param state how the attempt ended
     * @param status the service's HTTP status, zero for none
     * @param body the service's answer
     * @return completes, never fails, once it is recorded or a short wait is over
     */
    public Future<Void> record(HeldClaim claim, ClaimState state, int status, Optional<String> body) {
        Future<Void> recorded = recordUntilConfirmed(
                claim.name(), claim.version(), claim.claim().withState(state, status, body));
        return Future.any(recorded, vertx.timer(RECORD_WAIT_MS)).mapEmpty();
    }

    private Future<Void> recordUntilConfirmed(String name, long version, ClaimRecord ended) {
        unsettled.incrementAndGet();
        return repeatRecord(name, version, ended).andThen(done -> unsettled.decrementAndGet());
    }

    private Future<Void> repeatRecord(String name, long version, ClaimRecord ended) {
        return put(name, version, ended).transform(result -> {
            if (result.succeeded()) {
                // A conflict shows that an earlier copy of this write took effect: nobody else may write a held claim.
                return Future.succeededFuture();
            }
            metrics.recordStoreFailure("claim_record");
            return vertx.timer(BACKGROUND_REPEAT_MS).compose(fired -> repeatRecord(name, version, ended));
        });
    }

    /** Finds out whether an unconfirmed claim took effect, and releases it where it did. */
    private void abandon(String name, long version, ClaimRecord wanted) {
        unsettled.incrementAndGet();
        Events.warn(LOG, "claim_unconfirmed", "claim", name, "attempt", wanted.attempt());
        settleAbandoned(name, version, wanted).onComplete(done -> unsettled.decrementAndGet());
    }

    private Future<Void> settleAbandoned(String name, long version, ClaimRecord wanted) {
        return put(name, version, wanted).transform(result -> {
            if (result.failed()) {
                return vertx.timer(BACKGROUND_REPEAT_MS).compose(fired -> settleAbandoned(name, version, wanted));
            }
            return ownVersion(result.result(), wanted)
                    .map(own -> repeatRecord(name, own, wanted.withState(ClaimState.RELEASED, 0, Optional.empty())))
                    .orElseGet(Future::succeededFuture);
        });
    }

    /** Returns the version under which an attempt's claim stands, or empty where another attempt's claim does. */
    private static Optional<Long> ownVersion(WriteResult result, ClaimRecord wanted) {
        if (result instanceof WriteResult.Accepted accepted) {
            return Optional.of(accepted.object().version());
        }
        return ((WriteResult.Conflict) result)
                .current()
                .filter(object -> ClaimRecord.parse(object.value()).attempt().equals(wanted.attempt()))
                .map(StoredObject::version);
    }

    /**
     * Returns the number of claims whose writes the store has not confirmed.
     *
     * @return the number; a daemon waits for zero before it exits
     */
    public int unsettled() {
        return unsettled.get();
    }
}
