package org.pimentovale.kernel.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The endpoints that the platform lists, and what this instance has learnt of each.
 *
 * <p>Entries that are missing after the store was away may only have lapsed with it: they stay usable for {@link
 * #LAPSE_GRACE_MS} after its return, and are gone then. Invariant: an endpoint that is leaving, gone, or stands in a
 * withdrawn availability zone is never offered. Not thread safe; used on one event loop.
 */
public final class EndpointDirectory {
    /** How long entries may take to come back after the store's return, in milliseconds. */
    public static final long LAPSE_GRACE_MS = 2_000;

    private final Map<String, EndpointState> endpoints = new HashMap<>();
    private final Map<String, List<EndpointState>> byService = new HashMap<>();
    private final Set<String> withdrawnZones = new HashSet<>();
    private long graceUntilMs = Long.MIN_VALUE;

    /**
     * Records that the store is back after it was away.
     *
     * @param nowMs the time in milliseconds
     */
    public void recordStoreReconnect(long nowMs) {
        graceUntilMs = nowMs + LAPSE_GRACE_MS;
    }

    /**
     * Takes a whole list.
     *
     * @param records all entries that name an endpoint
     * @param nowMs the time in milliseconds
     */
    public void replaceAll(Collection<EndpointRecord> records, long nowMs) {
        Set<String> listed = new HashSet<>();
        for (EndpointRecord listedRecord : records) {
            listed.add(listedRecord.identifier());
            put(listedRecord, nowMs);
        }
        List.copyOf(endpoints.keySet()).stream()
                .filter(identifier -> !listed.contains(identifier))
                .forEach(identifier -> remove(identifier, nowMs));
    }

    /**
     * Takes one entry.
     *
     * @param changed the entry as it is now
     * @param nowMs the time in milliseconds
     */
    public void put(EndpointRecord changed, long nowMs) {
        EndpointState known = endpoints.get(changed.identifier());
        if (known != null && known.latest().service().equals(changed.service())) {
            known.update(changed, nowMs);
            return;
        }
        delete(changed.identifier());
        EndpointState added = new EndpointState(changed, nowMs);
        endpoints.put(changed.identifier(), added);
        byService
                .computeIfAbsent(changed.service(), unused -> new ArrayList<>())
                .add(added);
    }

    /**
     * Takes the news that an entry is missing.
     *
     * @param identifier the endpoint's identifier
     * @param nowMs the time in milliseconds
     */
    public void remove(String identifier, long nowMs) {
        EndpointState known = endpoints.get(identifier);
        if (known == null) {
            return;
        }
        if (nowMs < graceUntilMs && !known.latest().draining()) {
            known.markLapsed(nowMs);
            return;
        }
        delete(identifier);
    }

    private void delete(String identifier) {
        EndpointState known = endpoints.remove(identifier);
        if (known != null) {
            byService.get(known.latest().service()).remove(known);
        }
    }

    /**
     * Removes entries that have not come back in time.
     *
     * @param nowMs the time in milliseconds
     * @return the identifiers of the endpoints that are gone now
     */
    public List<String> removeLapsed(long nowMs) {
        if (nowMs < graceUntilMs) {
            return List.of();
        }
        List<String> removed = endpoints.entrySet().stream()
                .filter(entry -> entry.getValue().lapsedSinceMs() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        removed.forEach(this::delete);
        return removed;
    }

    /**
     * Replaces the availability zones that get no new work.
     *
     * @param zones the zones
     */
    public void replaceWithdrawnZones(Collection<String> zones) {
        withdrawnZones.clear();
        withdrawnZones.addAll(zones);
    }

    /**
     * Returns the availability zones that get no new work.
     *
     * @return the zones
     */
    public Set<String> withdrawnZones() {
        return Set.copyOf(withdrawnZones);
    }

    /**
     * Returns the endpoints of a service that may get new work.
     *
     * @param service the service's name
     * @return the endpoints, in no order
     */
    public List<EndpointState> usable(String service) {
        return byService.getOrDefault(service, List.of()).stream()
                .filter(this::isUsable)
                .toList();
    }

    /**
     * Tells whether an endpoint may get new work now.
     *
     * @param endpoint the endpoint
     * @return false once it is leaving, gone or withdrawn
     */
    public boolean isUsable(EndpointState endpoint) {
        EndpointRecord latest = endpoint.latest();
        return endpoints.get(latest.identifier()) == endpoint
                && !latest.draining()
                && !withdrawnZones.contains(latest.zone());
    }

    /**
     * Finds an endpoint.
     *
     * @param identifier its identifier
     * @return the endpoint, or empty
     */
    public Optional<EndpointState> find(String identifier) {
        return Optional.ofNullable(endpoints.get(identifier));
    }

    /**
     * Returns the availability zone in which most of some addresses stand.
     *
     * @param addresses addresses of endpoints
     * @return the zone, empty where none of the addresses is known
     */
    public Optional<String> mostCommonZone(List<String> addresses) {
        Map<String, Integer> counts = new HashMap<>();
        for (EndpointState endpoint : endpoints.values()) {
            int count = Collections.frequency(addresses, endpoint.latest().address());
            if (count > 0) {
                counts.merge(endpoint.latest().zone(), count, Integer::sum);
            }
        }
        return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }

    /**
     * Returns all endpoints.
     *
     * @return the endpoints, in no order
     */
    public Collection<EndpointState> allEndpoints() {
        return List.copyOf(endpoints.values());
    }
}
