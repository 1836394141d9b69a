package org.pimentovale.kernel.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pimentovale.kernel.history.StoreOutage;

/**
 * The endpoints that the platform lists, with the state that this instance observed of each.
 *
 * <p>Entries that are missing after a store outage may have expired only because of the outage. They stay usable for
 * {@link #EXPIRY_GRACE_PERIOD_MS} after the store is reachable again and are removed afterwards. The period applies
 * only if the outage was long enough for that, and ends before removals after the outage have to be in force.
 *
 * <p>An endpoint may say in a response that it is leaving, or refuse a request and name a delay. Such a notice is bound
 * to the endpoint's incarnation: it outlasts the removal of the entry and older entries, and ends with a later
 * incarnation.
 *
 * <p>Invariant: endpoints that are draining, leaving, removed, or in a withdrawn availability zone are never usable.
 * Not thread safe; used on one event loop.
 */
public final class EndpointDirectory {
    /** How long missing entries stay usable after the store is reachable again, in milliseconds. */
    public static final long EXPIRY_GRACE_PERIOD_MS = 2_000;

    // A live endpoint writes its entry every 1,200 ms, and the entry expires after three times as long.
    private static final long MIN_EXPIRING_OUTAGE_MS = 2_400;
    // Removals are to be in force 3,000 ms after the outage, which ended after the last failed request.
    private static final long MAX_GRACE_AFTER_FAILURE_MS = 2_900;

    private final Map<String, EndpointState> endpoints = new HashMap<>();
    private final Map<String, List<EndpointState>> byService = new HashMap<>();
    private final EndpointNoticeTable notices = new EndpointNoticeTable();
    private final Set<String> withdrawnZones = new HashSet<>();
    private long graceUntilMs = Long.MIN_VALUE;
    private long listRevision;

    /**
     * Records that the store is reachable again after an outage. Starts the grace period for missing entries if live
     * endpoints may have lost theirs.
     *
     * @param outage the outage
     * @param nowMs the current time in milliseconds
     * @return the time until the grace period ends, in milliseconds, zero if there is none
     */
    public long recordStoreReconnect(StoreOutage outage, long nowMs) {
        if (outage.restored() || nowMs - outage.lastResponseMs() >= MIN_EXPIRING_OUTAGE_MS) {
            long latestMs = outage.lastFailureMs() + MAX_GRACE_AFTER_FAILURE_MS;
            graceUntilMs = Math.max(graceUntilMs, Math.min(nowMs + EXPIRY_GRACE_PERIOD_MS, latestMs));
        }
        return graceUntilMs > nowMs ? graceUntilMs - nowMs : 0;
    }

    /**
     * Replaces all entries by a complete list.
     *
     * @param records all listed endpoints
     * @param nowMs the current time in milliseconds
     */
    public void replaceAll(Collection<EndpointRecord> records, long nowMs) {
        replaceAll(records, Set.of(), nowMs);
    }

    /**
     * Replaces the entries by a complete list, except those whose previous entry stays in force.
     *
     * @param records the endpoints whose listed entry is in force
     * @param retained the identifiers of the endpoints whose previous entry stays in force
     * @param nowMs the current time in milliseconds
     */
    public void replaceAll(Collection<EndpointRecord> records, Set<String> retained, long nowMs) {
        Set<String> listed = new HashSet<>(retained);
        for (EndpointRecord listedRecord : records) {
            listed.add(listedRecord.identifier());
            put(listedRecord, nowMs);
        }
        List.copyOf(endpoints.keySet()).stream()
                .filter(identifier -> !listed.contains(identifier))
                .forEach(identifier -> remove(identifier, nowMs));
    }

    /**
     * Adds or updates one entry. An entry whose service changed is replaced, without its observed state.
     *
     * @param changed the current entry
     * @param nowMs the current time in milliseconds
     */
    public void put(EndpointRecord changed, long nowMs) {
        EndpointState known = endpoints.get(changed.identifier());
        if (known != null && known.latest().service().equals(changed.service())) {
            if (!known.latest().build().equals(changed.build())) {
                listRevision++;
            }
            known.update(changed, nowMs);
            return;
        }
        delete(changed.identifier());
        listRevision++;
        EndpointState added = new EndpointState(changed, nowMs);
        endpoints.put(changed.identifier(), added);
        byService
                .computeIfAbsent(changed.service(), unused -> new ArrayList<>())
                .add(added);
    }

    /**
     * Removes an entry that is no longer listed. During the grace period it is only marked as expired, unless the
     * endpoint was draining.
     *
     * @param identifier the endpoint's identifier
     * @param nowMs the current time in milliseconds
     * @return how long the endpoint stays usable, in milliseconds, zero if it is removed
     */
    public long remove(String identifier, long nowMs) {
        EndpointState known = endpoints.get(identifier);
        if (known != null && nowMs < graceUntilMs && !known.latest().draining()) {
            known.markExpired(nowMs);
            return graceUntilMs - nowMs;
        }
        delete(identifier);
        return 0;
    }

    private void delete(String identifier) {
        EndpointState known = endpoints.remove(identifier);
        if (known != null) {
            listRevision++;
            byService.get(known.latest().service()).remove(known);
        }
    }

    /**
     * Removes the expired entries once the grace period is over.
     *
     * @param nowMs the current time in milliseconds
     * @return the identifiers of the removed endpoints
     */
    public List<String> removeExpired(long nowMs) {
        if (nowMs < graceUntilMs) {
            return List.of();
        }
        List<String> removed = endpoints.entrySet().stream()
                .filter(entry -> entry.getValue().expiredSinceMs() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        removed.forEach(this::delete);
        return removed;
    }

    /**
     * Replaces the set of withdrawn availability zones, whose endpoints get no new work.
     *
     * @param zones the names of the withdrawn zones
     */
    public void replaceWithdrawnZones(Collection<String> zones) {
        withdrawnZones.clear();
        withdrawnZones.addAll(zones);
    }

    /**
     * Returns the withdrawn availability zones, whose endpoints get no new work.
     *
     * @return the names of the zones
     */
    public Set<String> withdrawnZones() {
        return Set.copyOf(withdrawnZones);
    }

    /**
     * Returns the endpoints of a service that take new work, now or after a wait.
     *
     * @param service the service's name
     * @return the endpoints, in no particular order
     */
    public List<EndpointState> usable(String service) {
        return ofService(service).stream().filter(this::isUsable).toList();
    }

    /**
     * Returns a number that changes with each change of which endpoints are listed or of their builds, so that callers
     * may keep what they derived from these. Renewed entries and observed state do not change it.
     *
     * @return the number of changes
     */
    public long listRevision() {
        return listRevision;
    }

    /**
     * Returns the listed endpoints of a service, including unusable ones.
     *
     * @param service the service's name
     * @return the endpoints, in no particular order
     */
    public List<EndpointState> ofService(String service) {
        return Collections.unmodifiableList(byService.getOrDefault(service, List.of()));
    }

    /**
     * Tells whether an endpoint takes new work.
     *
     * @param endpoint a current or former endpoint of this directory
     * @return false if it is draining, leaving, removed, or in a withdrawn availability zone
     */
    public boolean isUsable(EndpointState endpoint) {
        return listedAvailability(endpoint).serving();
    }

    /**
     * Tells whether an endpoint is about to end, so that the end of its process is no crash.
     *
     * @param endpoint a current or former endpoint of this directory
     * @return whether it is draining, leaving or removed
     */
    public boolean announcesEnd(EndpointState endpoint) {
        return listedAvailability(endpoint).announcesEnd();
    }

    /**
     * Tells whether an endpoint may get a request now, as far as the platform's list and the endpoint's own responses
     * decide that.
     *
     * @param endpoint a current or former endpoint of this directory
     * @param nowMs the current time in milliseconds
     * @return the availability without cold limits, which depend on the service
     */
    public Availability availability(EndpointState endpoint, long nowMs) {
        Availability listed = listedAvailability(endpoint);
        if (listed != Availability.AVAILABLE) {
            return listed;
        }
        Optional<EndpointNotices> said = notices.find(endpoint.latest());
        if (said.filter(notice -> notice.throttledMs(nowMs) > 0).isPresent()) {
            return Availability.THROTTLED;
        }
        if (said.filter(notice -> !notice.allowsInSlowStart(endpoint.runningCalls(), nowMs))
                .isPresent()) {
            return Availability.SLOW_START;
        }
        return endpoint.withheldMs(nowMs) > 0 ? Availability.RATE_LIMITED : Availability.AVAILABLE;
    }

    /**
     * Tells whether an endpoint takes no requests, or took none until a short time ago and gets few at first.
     *
     * @param endpoint a current or former endpoint of this directory
     * @param nowMs the current time in milliseconds
     * @return whether its number of concurrent requests is limited by a notice
     */
    public boolean inSlowStart(EndpointState endpoint, long nowMs) {
        return notices.find(endpoint.latest())
                .filter(notice -> notice.inSlowStart(nowMs))
                .isPresent();
    }

    private Availability listedAvailability(EndpointState endpoint) {
        EndpointRecord latest = endpoint.latest();
        if (endpoints.get(latest.identifier()) != endpoint) {
            return Availability.REMOVED;
        }
        if (latest.draining()) {
            return Availability.DRAINING;
        }
        if (notices.find(latest).filter(EndpointNotices::leaving).isPresent()) {
            return Availability.LEAVING;
        }
        return withdrawnZones.contains(latest.zone()) ? Availability.ZONE_WITHDRAWN : Availability.AVAILABLE;
    }

    /**
     * Returns the time until an endpoint that refused a request may get one again.
     *
     * @param endpoint the endpoint
     * @param nowMs the current time in milliseconds
     * @return milliseconds, empty unless the endpoint is {@link Availability#THROTTLED} or
     *     {@link Availability#SLOW_START}
     */
    public OptionalLong returnMs(EndpointState endpoint, long nowMs) {
        Availability availability = availability(endpoint, nowMs);
        return availability == Availability.THROTTLED || availability == Availability.SLOW_START
                ? OptionalLong.of(notices.find(endpoint.latest()).orElseThrow().returnMs(nowMs))
                : OptionalLong.empty();
    }

    /**
     * Records that an endpoint said in a response that it is leaving. It gets no new work from then on.
     *
     * @param incarnation the entry of the endpoint when the request was sent to it
     * @param nowMs the current time in milliseconds
     * @return whether that was not known before
     */
    public boolean recordLeaving(EndpointRecord incarnation, long nowMs) {
        return openNotices(incarnation, nowMs)
                .map(notice -> notice.recordLeaving(nowMs))
                .orElse(false);
    }

    /**
     * Records that an endpoint refused a request and takes none for some time. The longest time counts.
     *
     * @param incarnation the entry of the endpoint when the request was sent to it
     * @param delayMs the time in milliseconds, positive
     * @param nowMs the current time in milliseconds
     * @return whether that prolongs the time known before
     */
    public boolean recordThrottled(EndpointRecord incarnation, long delayMs, long nowMs) {
        return openNotices(incarnation, nowMs)
                .map(notice -> notice.recordThrottled(delayMs, nowMs))
                .orElse(false);
    }

    /** Returns the notices of an incarnation to add to them, empty if a later one is known. */
    private Optional<EndpointNotices> openNotices(EndpointRecord incarnation, long nowMs) {
        notices.removeOld(endpoints::containsKey, nowMs);
        boolean restarted = find(incarnation.identifier())
                .filter(listed -> listed.latest().startedMs() > incarnation.startedMs())
                .isPresent();
        return restarted ? Optional.empty() : notices.open(incarnation);
    }

    /**
     * Finds an endpoint by its identifier.
     *
     * @param identifier the endpoint's identifier
     * @return the endpoint, or empty if it is not listed
     */
    public Optional<EndpointState> find(String identifier) {
        return Optional.ofNullable(endpoints.get(identifier));
    }

    /**
     * Returns the availability zone that contains most of the given addresses.
     *
     * @param addresses addresses of endpoints as host and port; repeated addresses count repeatedly
     * @return the zone, or empty if no address is known
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
     * Returns all endpoints, including unusable ones.
     *
     * @return the endpoints, in no particular order
     */
    public Collection<EndpointState> allEndpoints() {
        return List.copyOf(endpoints.values());
    }
}
