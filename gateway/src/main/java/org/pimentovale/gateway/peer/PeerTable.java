package org.pimentovale.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.kernel.membership.RendezvousHash;

/**
 * The gateways, and which of them answer.
 *
 * <p>Each service's queue belongs to the gateway that rendezvous hashing puts first among those that answer. Lists and
 * beliefs differ between gateways for moments; two owners at once fill their calls less well and do no harm otherwise.
 * Invariant: this gateway is always among the live ones. Not thread safe; used on one event loop.
 */
public final class PeerTable {
    private final InstanceRecord self;
    private boolean draining;
    private final Map<String, InstanceRecord> peers = new HashMap<>();
    private final Map<String, Long> unresponsiveSinceMs = new HashMap<>();

    /**
     * Creates a table that knows this gateway alone.
     *
     * @param self this gateway
     */
    public PeerTable(InstanceRecord self) {
        this.self = self;
    }

    /**
     * Returns this gateway.
     *
     * @return its record
     */
    public InstanceRecord self() {
        return self;
    }

    /** Marks that this gateway shuts down: it owns nothing any more while another one answers. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Tells whether this gateway shuts down.
     *
     * @return whether it does
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Takes a whole list.
     *
     * @param records all gateways
     */
    public void replaceAll(Collection<InstanceRecord> records) {
        peers.clear();
        records.forEach(this::put);
        unresponsiveSinceMs.keySet().retainAll(peers.keySet());
    }

    /**
     * Takes one gateway.
     *
     * @param changed its record as it is now
     */
    public void put(InstanceRecord changed) {
        if (changed.name().equals(self.name())) {
            return;
        }
        InstanceRecord previous = peers.put(changed.name(), changed);
        if (previous != null && !previous.address().equals(changed.address())) {
            unresponsiveSinceMs.remove(changed.name());
        }
    }

    /**
     * Forgets a gateway.
     *
     * @param name its name
     */
    public void remove(String name) {
        peers.remove(name);
        unresponsiveSinceMs.remove(name);
    }

    /**
     * Records that a gateway gave no answer or is leaving.
     *
     * @param name its name
     * @param nowMs the time in milliseconds
     * @return whether that is news
     */
    public boolean markUnresponsive(String name, long nowMs) {
        return peers.containsKey(name) && unresponsiveSinceMs.putIfAbsent(name, nowMs) == null;
    }

    /**
     * Records that a gateway answered.
     *
     * @param name its name
     * @return whether that is news
     */
    public boolean markResponsive(String name) {
        return unresponsiveSinceMs.remove(name) != null;
    }

    /**
     * Tells whether a gateway is believed to answer.
     *
     * @param name its name
     * @return whether it is
     */
    public boolean isResponsive(String name) {
        return name.equals(self.name()) || (peers.containsKey(name) && !unresponsiveSinceMs.containsKey(name));
    }

    /**
     * Returns all other gateways, whether they answer or not.
     *
     * @return their records
     */
    public List<InstanceRecord> others() {
        return List.copyOf(peers.values());
    }

    /**
     * Returns the names of all gateways that may live, this one included.
     *
     * @return the names
     */
    public List<String> names() {
        List<String> names = new ArrayList<>(peers.keySet());
        names.add(self.name());
        return names;
    }

    /**
     * Returns the owner of a duty.
     *
     * @param key names the duty
     * @return the gateway, empty where it is this one
     */
    public Optional<InstanceRecord> owner(String key) {
        Optional<InstanceRecord> candidate = peers.values().stream()
                .filter(peer -> isResponsive(peer.name()))
                .max(Comparator.comparingLong(peer -> RendezvousHash.weight(key, peer.name())));
        if (draining) {
            return candidate;
        }
        long ownWeight = RendezvousHash.weight(key, self.name());
        return candidate.filter(peer -> RendezvousHash.weight(key, peer.name()) > ownWeight);
    }
}
