package org.pimentovale.gateway.feed;

import java.util.Collection;
import java.util.function.Supplier;
import org.pimentovale.gateway.peer.PeerTable;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.StoreReadBudget;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * Determines the role of this gateway from the number of gateways and the services that it owns.
 *
 * <p>Invariant: the role is at most {@link #VALID_MS} old. Not thread safe; used on one event loop.
 */
public final class ContactRoles {
    /** Finding the owners of all services takes longer than a feed's check, which asks several times a second. */
    private static final long VALID_MS = 500;

    private final StoreReadBudget budget;
    private final PeerTable peers;
    private final Supplier<? extends Collection<String>> services;
    private final MonotonicClock clock;
    private ContactRole role = ContactRole.INDEPENDENT;
    private long nextMs = Long.MIN_VALUE;

    /**
     * Creates the roles.
     *
     * @param budget decides whether the short waits of all gateways are too many calls
     * @param peers the gateways
     * @param services returns the services whose owners are probed
     * @param clock the source of monotonic time
     */
    public ContactRoles(
            StoreReadBudget budget,
            PeerTable peers,
            Supplier<? extends Collection<String>> services,
            MonotonicClock clock) {
        this.budget = budget;
        this.peers = peers;
        this.services = services;
        this.clock = clock;
    }

    /**
     * Returns the role.
     *
     * @return how this gateway keeps its waits
     */
    ContactRole role() {
        long nowMs = clock.nowMs();
        if (nowMs >= nextMs) {
            nextMs = nowMs + VALID_MS;
            role = determine();
        }
        return role;
    }

    private ContactRole determine() {
        if (!budget.exceededBy(peers.names().size())) {
            return ContactRole.INDEPENDENT;
        }
        boolean owner =
                services.get().stream().anyMatch(service -> peers.owner(service).isEmpty());
        return owner ? ContactRole.REPORTER : ContactRole.FOLLOWER;
    }
}
