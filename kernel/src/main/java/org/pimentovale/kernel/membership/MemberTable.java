package org.pimentovale.kernel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The entry instances known to this instance, and the time of the last contact with each.
 *
 * <p>A member is dead if it was declared dead in its latest known epoch or a later one. A member that was declared dead
 * by mistake refutes this by entering a later epoch. Invariant: this instance is always a live member. Thread safe;
 * no other lock is acquired while its lock is held.
 */
public final class MemberTable {
    private final Member self;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> lastContactMs = new HashMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> deadEpochs = new HashMap<>();
    private long ownEpoch;

    /**
     * Creates a table that contains only this instance.
     *
     * @param self the registration of this instance
     */
    public MemberTable(Member self) {
        this.self = self;
    }

    /**
     * Returns the registration of this instance.
     *
     * @return this instance as a member
     */
    public Member self() {
        return self;
    }

    /**
     * Replaces the list of registered members and discards the state of members no longer registered. A new member
     * counts as contacted now.
     *
     * @param registered all registered members, with or without this instance
     * @param nowMs the current time
     */
    public synchronized void setRegistered(Collection<Member> registered, long nowMs) {
        Map<String, Member> next = new HashMap<>();
        for (Member member : registered) {
            if (!member.name().equals(self.name())) {
                next.put(member.name(), member);
                lastContactMs.putIfAbsent(member.name(), nowMs);
            }
        }
        members.clear();
        members.putAll(next);
        lastContactMs.keySet().retainAll(next.keySet());
        epochs.keySet().retainAll(next.keySet());
        deadEpochs.keySet().retainAll(next.keySet());
    }

    /**
     * Records a contact with a member, directly or through another member.
     *
     * @param member the member
     * @param epoch the member's epoch: how often it has refuted its death
     * @param nowMs the current time
     */
    public synchronized void recordContact(Member member, long epoch, long nowMs) {
        if (!member.name().equals(self.name())) {
            members.put(member.name(), member);
            lastContactMs.put(member.name(), nowMs);
            epochs.merge(member.name(), epoch, Math::max);
        }
    }

    /**
     * Records that a member left or stopped responding in an epoch; it is live again in a later epoch. If the member is
     * this instance, it refutes its death by entering a later epoch.
     *
     * @param name the member's name
     * @param epoch the epoch in which the member is dead
     */
    public synchronized void declareDead(String name, long epoch) {
        if (name.equals(self.name())) {
            ownEpoch = Math.max(ownEpoch, epoch + 1);
        } else if (members.containsKey(name)) {
            deadEpochs.merge(name, epoch, Math::max);
        }
    }

    /**
     * Returns this instance's epoch, which is how often it has refuted its death.
     *
     * @return the epoch, starting at zero
     */
    public synchronized long ownEpoch() {
        return ownEpoch;
    }

    /**
     * Returns the latest known epoch of a member.
     *
     * @param name the member's name
     * @return the epoch, zero if none is known
     */
    public synchronized long epoch(String name) {
        return epochs.getOrDefault(name, 0L);
    }

    /**
     * Returns the epoch in which a member was declared dead.
     *
     * @param name the member's name
     * @return the epoch, or empty if the member is live
     */
    public synchronized Optional<Long> deadEpoch(String name) {
        return isDead(name) ? Optional.of(deadEpochs.get(name)) : Optional.empty();
    }

    private boolean isDead(String name) {
        return deadEpochs.getOrDefault(name, -1L) >= epochs.getOrDefault(name, 0L);
    }

    /**
     * Returns the members that left or stopped responding.
     *
     * @return their names
     */
    public synchronized Set<String> dead() {
        Set<String> dead = new HashSet<>(members.keySet());
        dead.removeIf(name -> !isDead(name));
        return dead;
    }

    /**
     * Returns all other members, whether live or dead.
     *
     * @return the members, sorted by name
     */
    public synchronized List<Member> others() {
        List<Member> others = new ArrayList<>(members.values());
        others.sort(Comparator.comparing(Member::name));
        return others;
    }

    /**
     * Returns the live members, including this instance.
     *
     * @return this instance, followed by the others in no particular order
     */
    public synchronized List<Member> live() {
        List<Member> live = new ArrayList<>();
        live.add(self);
        for (Member member : members.values()) {
            if (!isDead(member.name())) {
                live.add(member);
            }
        }
        return live;
    }

    /**
     * Returns the time since the last contact with any other member.
     *
     * @param nowMs the current time
     * @return milliseconds, or empty if no other member is known
     */
    public synchronized Optional<Long> timeSinceLastContactMs(long nowMs) {
        return lastContactMs.values().stream().max(Comparator.naturalOrder()).map(latest -> nowMs - latest);
    }

    /**
     * Returns this instance's rank among the live members for a key, by rendezvous hashing.
     *
     * @param key names the task that one member is to perform
     * @return the rank, zero for the preferred member
     */
    public int rank(String key) {
        long ownWeight = RendezvousHash.weight(key, self.name());
        int rank = 0;
        for (Member member : live()) {
            if (RendezvousHash.weight(key, member.name()) > ownWeight) {
                rank++;
            }
        }
        return rank;
    }
}
