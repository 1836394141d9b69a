package org.pimentovale.daemon.claim;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.claim.ClaimRecord;
import org.pimentovale.kernel.claim.RememberedClaims;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.log.Events;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Writes claims to the store. Invariant: a confirmed write replaces no record that {@link ClaimRecord#supersedes} does
 * not allow. Thread safe.
 */
final class ClaimWriter {
    static final String KIND = "claims";

    private static final Logger LOG = Logger.getLogger(ClaimWriter.class);
    private static final int BACKGROUND_RETRY_DELAY_MS = 500;

    private final Vertx vertx;
    private final ObjectStore store;
    private final StoreHealth health;
    private final DaemonMetrics metrics;
    private final RememberedClaims remembered;

    ClaimWriter(
            Vertx vertx, ObjectStore store, StoreHealth health, DaemonMetrics metrics, RememberedClaims remembered) {
        this.vertx = vertx;
        this.store = store;
        this.health = health;
        this.metrics = metrics;
        this.remembered = remembered;
    }

    /** Writes a claim once, if the store holds the expected version or, with version zero, none. */
    Future<WriteResult> put(String name, long version, ClaimRecord claim) {
        byte[] value = Json.write(claim);
        Future<WriteResult> written =
                version == 0 ? store.create(KIND, name, value) : store.update(KIND, name, version, value);
        return health.track(written);
    }

    /**
     * Writes a claim until the store holds it or a record that it does not supersede. A conflict shows that an earlier
     * try took effect, or that the store was restored from a backup without the previous write.
     *
     * @param version the expected version, zero if the store holds no record
     * @return the version of this claim in the store when it was found there already, otherwise empty
     */
    Future<Optional<Long>> writeUntilConfirmed(String name, long version, ClaimRecord claim) {
        long eraBefore = store.era();
        return put(name, version, claim).transform(result -> {
            if (result.failed()) {
                metrics.recordStoreFailure("claim_record");
                return vertx.timer(BACKGROUND_RETRY_DELAY_MS)
                        .compose(fired -> writeUntilConfirmed(name, version, claim));
            }
            if (result.result() instanceof WriteResult.Accepted accepted) {
                confirm(name, eraBefore, accepted.object().version(), claim);
                return Future.succeededFuture(Optional.empty());
            }
            return handleConflict(name, eraBefore, claim, ((WriteResult.Conflict) result.result()).current());
        });
    }

    private Future<Optional<Long>> handleConflict(
            String name, long eraBefore, ClaimRecord claim, Optional<StoredObject> current) {
        if (current.isEmpty()) {
            return writeUntilConfirmed(name, 0, claim);
        }
        long currentVersion = current.get().version();
        ClaimRecord stored;
        try {
            stored = ClaimRecord.parse(current.get().value());
        } catch (ServingException damaged) {
            Events.warn(LOG, "claim_damaged", "claim", name, "failure", damaged.getMessage());
            return Future.succeededFuture(Optional.empty());
        }
        if (claim.supersedes(stored)) {
            return writeUntilConfirmed(name, currentVersion, claim);
        }
        if (claim.confirmedBy(stored)) {
            confirm(name, eraBefore, currentVersion, claim);
            return Future.succeededFuture(Optional.of(currentVersion));
        }
        if (!stored.attempt().equals(claim.attempt()) && !claim.state().claimable()) {
            Events.warn(
                    LOG,
                    "claim_conflict",
                    "claim",
                    name,
                    "attempt",
                    claim.attempt(),
                    "state",
                    claim.state(),
                    "stored_attempt",
                    stored.attempt(),
                    "stored_state",
                    stored.state());
        }
        return Future.succeededFuture(Optional.empty());
    }

    /** Records the revision of a claim, unless its era is uncertain because the store was restored meanwhile. */
    private void confirm(String name, long eraBefore, long version, ClaimRecord claim) {
        if (store.era() == eraBefore) {
            remembered.confirm(name, new StoreRevision(eraBefore, version), claim);
        }
    }
}
