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
 * Gives the one system-wide permission to run a suspected request once more, on an endpoint that runs no other suspect.
 *
 * <p>Invariant: a fingerprint gets at most one permission until a clean answer clears it. Thread safe.
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
     * Creates a guard.
     *
     * @param store holds the permissions
     * @param health tells whether the store answers
     * @param clock the time
     * @param owner this instance's name
     */
    public SuspectPermits(ObjectStore store, StoreHealth health, MonotonicClock clock, String owner) {
        this.store = store;
        this.health = health;
        this.clock = clock;
        this.owner = owner;
    }

    /**
     * Asks for the permission.
     *
     * @param fingerprint the request's fingerprint
     * @return whether it was given; never fails, since without an answer there is no permission
     */
    public Future<Boolean> acquirePermit(String fingerprint) {
        return health.track(store.create(PERMIT_KIND, fingerprint, owner.getBytes(StandardCharsets.UTF_8)))
                .map(result -> result instanceof WriteResult.Accepted)
                .otherwise(false);
    }

    /**
     * Asks for the right to run a suspect on an endpoint that runs no other one, whoever sent it.
     *
     * @param address the endpoint
     * @return the version of the stored right, or empty where another suspect runs there; never fails
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

    /** A right whose owner died stays behind; it only delays suspects, so that time may end it. */
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
     * Gives the right to run alone back.
     *
     * @param address the endpoint
     * @param version the version of the stored right
     */
    public void releaseEndpoint(String address, long version) {
        store.delete(RESERVATION_KIND, address.replace(':', '_'), version);
    }

    /**
     * Gives the permission back, after the request was answered in full.
     *
     * @param fingerprint the request's fingerprint
     */
    public void releasePermit(String fingerprint) {
        store.read(PERMIT_KIND, fingerprint)
                .onSuccess(
                        found -> found.ifPresent(object -> store.delete(PERMIT_KIND, fingerprint, object.version())));
    }
}
