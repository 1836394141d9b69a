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
 * The entry instances that this one knows of, and when it last heard from each.
 *
 * <p>Invariant: this instance is always a live member. Thread safe; its lock is a leaf.
 */
public final class MemberTable {
    private final Member self;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> lastContactMs = new HashMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> deadEpochs = new HashMap<>();
    private long ownEpoch;

    /**
     * Creates a table that holds only this instance.
     *
     * @param self this instance
     */
    public MemberTable(Member self) {
        this.self = self;
    }

    /**
     * Returns this instance.
     *
     * @return the member
     */
    public Member self() {
        return self;
    }

    /**
     * Takes over the registered members; those that are gone are forgotten.
     *
     * @param registered all registered members
     * @param nowMs the time
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
     * Records that a member was heard from, directly or through others.
     *
     * @param member the member
     * @param epoch how often it has refuted its death
     * @param nowMs the time
     */
    public synchronized void recordContact(Member member, long epoch, long nowMs) {
        if (!member.name().equals(self.name())) {
            members.put(member.name(), member);
            lastContactMs.put(member.name(), nowMs);
            epochs.merge(member.name(), epoch, Math::max);
        }
    }

    /**
     * Records that a member left or stopped answering in an epoch; it counts as live again in a later one. Where this
     * instance itself is meant, it enters a later epoch.
     *
     * @param name its name
     * @param epoch the epoch in which it is dead
     */
    public synchronized void declareDead(String name, long epoch) {
        if (name.equals(self.name())) {
            ownEpoch = Math.max(ownEpoch, epoch + 1);
        } else if (members.containsKey(name)) {
            deadEpochs.merge(name, epoch, Math::max);
        }
    }

    /**
     * Returns how often this instance has refuted its death.
     *
     * @return the epoch, from zero
     */
    public synchronized long ownEpoch() {
        return ownEpoch;
    }

    /**
     * Returns the latest epoch in which a member is known.
     *
     * @param name its name
     * @return the epoch
     */
    public synchronized long epoch(String name) {
        return epochs.getOrDefault(name, 0L);
    }

    /**
     * Returns the epoch in which a member is dead.
     *
     * @param name its name
     * @return the epoch, or empty where it is live
     */
    public synchronized Optional<Long> deadEpoch(String name) {
        return isDead(name) ? Optional.of(deadEpochs.get(name)) : Optional.empty();
    }

    private boolean isDead(String name) {
        return deadEpochs.getOrDefault(name, -1L) >= epochs.getOrDefault(name, 0L);
    }

    /**
     * Returns the members that left or stopped answering.
     *
     * @return their names
     */
    public synchronized Set<String> dead() {
        Set<String> dead = new HashSet<>(members.keySet());
        dead.removeIf(name -> !isDead(name));
        return dead;
    }

    /**
     * Returns the other members.
     *
     * @return all that are registered, live or not, by name
     */
    public synchronized List<Member> others() {
        List<Member> others = new ArrayList<>(members.values());
        others.sort(Comparator.comparing(Member::name));
        return others;
    }

    /**
     * Returns the live members, with this instance.
     *
     * @return the members that nobody reported as gone
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
     * Returns how long ago any other member was heard from.
     *
     * @param nowMs the time
     * @return milliseconds, or empty where no other member is known
     */
    public synchronized Optional<Long> timeSinceLastContactMs(long nowMs) {
        return lastContactMs.values().stream().max(Comparator.naturalOrder()).map(latest -> nowMs - latest);
    }

    /**
     * Returns this instance's place in the order of preference for a duty, by rendezvous hashing.
     *
     * @param key the duty's name
     * @return zero for the most preferred live member
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
