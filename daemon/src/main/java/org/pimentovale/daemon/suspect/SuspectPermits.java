package org.pimentovale.daemon.suspect;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.store.ObjectStore;
import org.pimentovale.store.StoredObject;
import org.pimentovale.store.WriteResult;

/**
 * Manages the system-wide permits to run a suspect request once more, and the reservations of endpoints for suspect
 * requests. A reservation keeps other suspects off the endpoint until it is released or exceeds its age limit.
 *
 * <p>Invariant: a fingerprint gets at most one permit until a complete response releases it. Thread safe.
 */
public final class SuspectPermits {
    private static final String PERMIT_KIND = "suspects";
    private static final String RESERVATION_KIND = "suspect-trials";
    private static final long MAX_RESERVATION_MS = 5_000;

    private final ObjectStore store;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final String owner;
    private final Map<String, ObservedReservation> observedReservations = new ConcurrentHashMap<>();

    private record ObservedReservation(long version, long firstSeenMs) {}

    /**
     * Creates the manager of this instance's permits and reservations.
     *
     * @param store stores the permits and reservations
     * @param health records whether the store is available
     * @param clock clock for the age of reservations
     * @param owner name of this instance
     */
    public SuspectPermits(ObjectStore store, StoreHealth health, MonotonicClock clock, String owner) {
        this.store = store;
        this.health = health;
        this.clock = clock;
        this.owner = owner;
    }

    /**
     * Acquires the permit to run a suspect request.
     *
     * @param fingerprint fingerprint of the request
     * @return whether the permit was acquired; never fails, since a store failure counts as a denied permit
     */
    public Future<Boolean> acquirePermit(String fingerprint) {
        return health.track(store.create(PERMIT_KIND, fingerprint, owner.getBytes(StandardCharsets.UTF_8)))
                .map(result -> result instanceof WriteResult.Accepted)
                .otherwise(false);
    }

    /**
     * Reserves an endpoint for a suspect request, so that no instance runs another suspect on it.
     *
     * @param address address of the endpoint
     * @return the version of the stored reservation, or empty if the endpoint is reserved or the store failed; never
     *     fails
     */
    public Future<Optional<Long>> reserveEndpoint(String address) {
        String name = address.replace(':', '_');
        return health.track(store.create(RESERVATION_KIND, name, owner.getBytes(StandardCharsets.UTF_8)))
                .map(result -> {
                    if (result instanceof WriteResult.Accepted accepted) {
                        return Optional.of(accepted.object().version());
                    }
                    ((WriteResult.Conflict) result).current().ifPresent(this::deleteIfStale);
                    return Optional.<Long>empty();
                })
                .otherwise(Optional.empty());
    }

    /**
     * Deletes a reservation that this instance has observed for too long, since its owner may have crashed. A
     * reservation that remains only delays suspect requests, so an age limit is sufficient.
     */
    private void deleteIfStale(StoredObject reservation) {
        long nowMs = clock.nowMs();
        ObservedReservation observed = observedReservations.compute(
                reservation.name(),
                (name, known) -> known != null && known.version() == reservation.version()
                        ? known
                        : new ObservedReservation(reservation.version(), nowMs));
        if (nowMs - observed.firstSeenMs() > MAX_RESERVATION_MS) {
            store.delete(RESERVATION_KIND, reservation.name(), reservation.version());
        }
    }

    /**
     * Releases the reservation of an endpoint.
     *
     * @param address address of the endpoint
     * @param version version of the stored reservation
     */
    public void releaseEndpoint(String address, long version) {
        store.delete(RESERVATION_KIND, address.replace(':', '_'), version);
    }

    /**
     * Releases the permit of a request after a complete response.
     *
     * @param fingerprint fingerprint of the request
     */
    public void releasePermit(String fingerprint) {
        store.read(PERMIT_KIND, fingerprint)
                .onSuccess(
                        found -> found.ifPresent(object -> store.delete(PERMIT_KIND, fingerprint, object.version())));
    }
}
