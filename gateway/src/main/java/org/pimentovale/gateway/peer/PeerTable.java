package org.pimentovale.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongBiFunction;
import java.util.stream.Stream;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.kernel.membership.OwnerEligibility;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * The gateways, and which of them are responsive.
 *
 * <p>Each service's queue is owned by the responsive gateway with the highest rendezvous hash weight. The tables of
 * two gateways may differ for a short time; two concurrent owners send smaller batches to endpoints, but are otherwise
 * harmless. Invariants: this gateway always counts as responsive; a remembered owner is the one that the current table
 * yields. Not thread safe; used on one event loop.
 */
public final class PeerTable {
    /**
     * The greatest number of remembered owners. Services and roll-outs are few and asked for several times a second,
     * each time at the cost of a hash for every gateway; keys of single requests are not asked for again.
     */
    private static final int MAX_OWNERS = 64;

    private final InstanceRecord self;
    private final ToLongBiFunction<String, String> weight;
    private final Map<String, Optional<InstanceRecord>> owners = new HashMap<>();
    private boolean draining;
    private final Map<String, InstanceRecord> peers = new HashMap<>();
    private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

    /**
     * Creates a table that contains only this gateway.
     *
     * @param self this gateway
     */
    public PeerTable(InstanceRecord self) {
        this(self, RendezvousHash::weight);
    }

    /** Creates a table with a function that returns the weight of a gateway's name for a key. */
    PeerTable(InstanceRecord self, ToLongBiFunction<String, String> weight) {
        this.self = self;
        this.weight = weight;
    }

    /**
     * Returns this gateway.
     *
     * @return its record
     */
    public InstanceRecord self() {
        return self;
    }

    /** Marks this gateway as shutting down: it owns nothing any more while another gateway is responsive. */
    public void startDraining() {
        draining = true;
        owners.clear();
    }

    /**
     * Returns whether this gateway is shutting down.
     *
     * @return whether it owns nothing while another gateway is responsive
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Replaces all peers. Peers that remain in the list keep their state.
     *
     * @param records the records of all gateways, with or without this one
     */
    public void replaceAll(Collection<InstanceRecord> records) {
        peers.clear();
        owners.clear();
        records.forEach(this::put);
        unresponsiveSinceMs.keySet().retainAll(peers.keySet());
    }

    /**
     * Adds or updates a peer. A peer with a new address counts as responsive. This gateway's own record is ignored.
     *
     * @param changed the peer's current record
     */
    public void put(InstanceRecord changed) {
        if (changed.name().equals(self.name())) {
            return;
        }
        owners.clear();
        InstanceRecord previous = peers.put(changed.name(), changed);
        if (previous != null && !previous.address().equals(changed.address())) {
            unresponsiveSinceMs.remove(changed.name());
        }
    }

    /**
     * Removes a peer.
     *
     * @param name the peer's name
     */
    public void remove(String name) {
        peers.remove(name);
        unresponsiveSinceMs.remove(name);
        owners.clear();
    }

    /**
     * Records that a peer does not respond or is draining.
     *
     * @param name the peer's name
     * @param nowMs the current time, in milliseconds
     * @return whether the peer counted as responsive before
     */
    public boolean markUnresponsive(String name, long nowMs) {
        owners.clear();
        return peers.containsKey(name) && unresponsiveSinceMs.putIfAbsent(name, nowMs) == null;
    }

    /**
     * Records that a peer responded.
     *
     * @param name the peer's name
     * @return whether the peer counted as unresponsive before
     */
    public boolean markResponsive(String name) {
        boolean changed = unresponsiveSinceMs.remove(name) != null;
        if (changed) {
            owners.clear();
        }
        return changed;
    }

    /**
     * Returns whether a gateway counts as responsive.
     *
     * @param name the gateway's name
     * @return whether it is this gateway, or a known peer not recorded as unresponsive
     */
    public boolean isResponsive(String name) {
        return name.equals(self.name()) || (peers.containsKey(name) && !unresponsiveSinceMs.containsKey(name));
    }

    /**
     * Returns whether another gateway counts as responsive.
     *
     * @return whether at least one does
     */
    public boolean anyOtherResponsive() {
        return peers.keySet().stream().anyMatch(this::isResponsive);
    }

    /**
     * Returns all other gateways, responsive or not.
     *
     * @return their records
     */
    public List<InstanceRecord> others() {
        return List.copyOf(peers.values());
    }

    /**
     * Returns the names of all known gateways, including this one.
     *
     * @return the names
     */
    public List<String> names() {
        List<String> names = new ArrayList<>(peers.keySet());
        names.add(self.name());
        return names;
    }

    /**
     * Returns all other gateways in the order of their rendezvous hash weights for a key.
     *
     * @param key the key
     * @return their records, responsive or not, the one with the highest weight first
     */
    public List<InstanceRecord> ranked(String key) {
        return peers.values().stream()
                .sorted(Comparator.comparingLong((InstanceRecord peer) -> RendezvousHash.weight(key, peer.name()))
                        .reversed())
                .toList();
    }

    /** Returns the greatest bandwidth among the gateways that may be owners now. */
    private double fastestLinkMbps() {
        return Stream.concat(peers.values().stream().filter(peer -> isResponsive(peer.name())), Stream.of(self))
                .filter(gateway -> !draining || gateway != self)
                .mapToDouble(InstanceRecord::linkMbps)
                .max()
                .orElse(0);
    }

    /**
     * Returns the gateway that owns a key, such as a service or a fingerprint.
     *
     * @param key the key for rendezvous hashing
     * @return the owner, empty if it is this gateway
     */
    public Optional<InstanceRecord> owner(String key) {
        Optional<InstanceRecord> remembered = owners.get(key);
        if (remembered != null) {
            return remembered;
        }
        if (owners.size() >= MAX_OWNERS) {
            owners.clear();
        }
        Optional<InstanceRecord> owner = determineOwner(key);
        owners.put(key, owner);
        return owner;
    }

    private Optional<InstanceRecord> determineOwner(String key) {
        double fastestMbps = fastestLinkMbps();
        Optional<InstanceRecord> candidate = peers.values().stream()
                .filter(peer -> isResponsive(peer.name()))
                .filter(peer -> OwnerEligibility.isEligible(peer.linkMbps(), fastestMbps))
                .max(Comparator.comparingLong(peer -> weight.applyAsLong(key, peer.name())));
        if (draining || !OwnerEligibility.isEligible(self.linkMbps(), fastestMbps)) {
            return candidate;
        }
        long ownWeight = weight.applyAsLong(key, self.name());
        return candidate.filter(peer -> weight.applyAsLong(key, peer.name()) > ownWeight);
    }
}
