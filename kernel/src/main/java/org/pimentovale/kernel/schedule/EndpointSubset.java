package org.pimentovale.kernel.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.pimentovale.kernel.membership.RendezvousHash;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;

/**
 * Chooses the endpoints of a pool that this instance uses. In large pools it is a subset, so that few instances share a
 * limit. Stateless and thread safe.
 */
final class EndpointSubset {
    private static final int MIN_SIZE = 8;

    private EndpointSubset() {}

    /** Returns the addresses of endpoints that are neither withdrawn nor leaving, by the instance's rendezvous hash. */
    static Set<String> choose(Pool pool, SchedulerContext context) {
        List<Endpoint> serving = pool.endpoints().stream()
                .filter(endpoint -> !context.withdrawnZones().contains(endpoint.zone()))
                .filter(endpoint -> !context.leavingAddresses().contains(endpoint.address()))
                .sorted(Comparator.comparingLong((Endpoint endpoint) ->
                                RendezvousHash.weight(endpoint.address(), context.instanceName()))
                        .reversed())
                .toList();
        int size = Math.max(MIN_SIZE, pool.limit() * serving.size() / (2 * context.instanceCount()));
        return Set.copyOf(serving.stream()
                .limit(Math.min(size, serving.size()))
                .map(Endpoint::address)
                .toList());
    }
}
