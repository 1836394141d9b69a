package org.pimentovale.daemon.suspect;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.platform.ObjectStore;
import org.pimentovale.platform.WriteResult;

/**
 * Gives the one system-wide permission to run a suspected request once more.
 *
 * <p>Invariant: a fingerprint gets at most one permission until a clean answer clears it. Thread safe.
 */
public final class SuspectGuard {
    private static final String KIND = "suspects";

    private final ObjectStore store;
    private final StoreHealth health;
    private final String owner;

    /**
     * Creates a guard.
     *
     * @param store holds the permissions
     * @param health tells whether the store answers
     * @param owner this instance's name
     */
    public SuspectGuard(ObjectStore store, StoreHealth health, String owner) {
        this.store = store;
        this.health = health;
        this.owner = owner;
    }

    /**
     * Asks for the permission.
     *
     * @param fingerprint the request's fingerprint
     * @return whether it was given; never fails, since without an answer there is no permission
     */
    public Future<Boolean> permit(String fingerprint) {
        return health.watch(store.create(KIND, fingerprint, owner.getBytes(StandardCharsets.UTF_8)))
                .map(result -> result instanceof WriteResult.Accepted)
                .otherwise(false);
    }

    /**
     * Gives the permission back, after the request was answered in full.
     *
     * @param fingerprint the request's fingerprint
     */
    public void clear(String fingerprint) {
        store.read(KIND, fingerprint)
                .onSuccess(found -> found.ifPresent(object -> store.delete(KIND, fingerprint, object.version())));
    }
}
