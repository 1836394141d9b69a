package org.pimentovale.kernel.history;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which statements of the store about the objects of one kind are believed.
 *
 * <p>Within an era the store's revision orders all statements. A list may contain writes later than its revision, and
 * the changes after that revision then repeat what led up to them; they are ignored.
 *
 * <p>A store that is restored from a backup has lost its last writes and removals; their writers write them again after
 * a while. Until then, what was confirmed before the restore stays in force:
 *
 * <ul>
 *   <li>an object whose writer stamps its writes keeps its state while the store states an older write;
 *   <li>an object that the restored store does not list stays for the retention time of its kind;
 *   <li>an object that was removed stays removed for {@link #SETTLING_MS}, unless its writer has written it again.
 * </ul>
 *
 * <p>Invariant: the revision never decreases within an era, and the era never decreases. Not thread safe; used on one
 * event loop.
 */
public final class ObjectHistory {
    /**
     * Time within which the writers are expected to have written again after a restore, in milliseconds. It covers the
     * three heartbeat intervals after which the store removes the entry of a stopped endpoint.
     */
    public static final long SETTLING_MS = 4_000;

    private static final int MAX_REMOVED_OBJECTS = 4_096;

    private final long retentionMs;
    private final Map<String, ObjectWrite> present = new LinkedHashMap<>();
    private final Map<String, ObjectWrite> removed = new LinkedHashMap<>();
    /** The removed objects of whose removal a change told. A list may miss an object that a later one names again. */
    private final Set<String> removedByChange = new HashSet<>();

    private StoreRevision revision = StoreRevision.NONE;
    private boolean settling;
    private boolean writersExpected;
    private long restoreNoticedMs;
    private long nextListAtMs;

    /**
     * Creates a history without objects.
     *
     * @param retentionMs how long an object that a restored store does not list stays in force, in milliseconds
     */
    public ObjectHistory(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    /**
     * Returns the revision up to which the store's statements are known.
     *
     * @return the revision, {@link StoreRevision#NONE} before the first list
     */
    public StoreRevision revision() {
        return revision;
    }

    /**
     * Tells whether the writers may not have written everything again yet after a restore of the store.
     *
     * @return whether a list is due when {@link #nextListMs} is over
     */
    public boolean settling() {
        return settling;
    }

    /**
     * Returns the time after which the store is to be listed again while {@link #settling}.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero if the list is due
     */
    public long nextListMs(long nowMs) {
        return Math.max(0, nextListAtMs - nowMs);
    }

    /**
     * Returns the time at which the last restore was noticed.
     *
     * @return the time in milliseconds, zero if there was none
     */
    public long restoreNoticedMs() {
        return restoreNoticedMs;
    }

    /**
     * Decides on a complete list, which must not precede {@link #revision}.
     *
     * @param listRevision the revision of the list
     * @param listed all listed objects
     * @param nowMs the current time in milliseconds
     * @return the decision
     */
    public ListVerdict acceptList(StoreRevision listRevision, List<ObjectWrite> listed, long nowMs) {
        updateSettling(listRevision, nowMs);
        revision = listRevision;
        Set<String> accepted = new HashSet<>();
        Set<String> retained = new HashSet<>();
        Set<String> reappeared = new HashSet<>();
        Set<String> unlisted = new HashSet<>(present.keySet());
        for (ObjectWrite write : listed) {
            if (precedesRemoval(write)) {
                continue;
            }
            unlisted.remove(write.name());
            if (staysRemoved(write)) {
                reappeared.add(write.name());
            } else if (isOlderThanKnown(write) || precedesKnown(write)) {
                retained.add(write.name());
            } else {
                recordPresent(write);
                accepted.add(write.name());
            }
        }
        for (String name : unlisted) {
            if (staysPresent(present.get(name), nowMs)) {
                retained.add(name);
            } else {
                recordRemoved(present.get(name));
            }
        }
        return new ListVerdict(accepted, retained, reappeared);
    }

    private void updateSettling(StoreRevision listRevision, long nowMs) {
        boolean restored = !revision.equals(StoreRevision.NONE) && listRevision.isOfLaterEra(revision);
        if (restored) {
            settling = true;
            writersExpected = true;
            restoreNoticedMs = nowMs;
            nextListAtMs = nowMs + SETTLING_MS;
        } else if (nowMs >= nextListAtMs) {
            writersExpected = false;
            nextListAtMs = restoreNoticedMs + retentionMs;
            settling = settling && nowMs < nextListAtMs;
        }
    }

    private boolean staysRemoved(ObjectWrite write) {
        ObjectWrite removal = removed.get(write.name());
        if (!writersExpected || removal == null || !isOfEarlierEra(removal)) {
            return false;
        }
        if (write.stamp().isPresent() && removal.stamp().isPresent()) {
            return write.stamp().get().compareTo(removal.stamp().get()) <= 0;
        }
        return write.revision().revision() <= removal.revision().revision();
    }

    /** Tells whether a later write of the same era is known. */
    private boolean precedesKnown(ObjectWrite write) {
        ObjectWrite known = present.get(write.name());
        return known != null
                && known.revision().era() == write.revision().era()
                && write.revision().precedes(known.revision());
    }

    /**
     * Tells whether a change told that the object was removed after this write, in the same era. The store cannot state
     * the write any more; a copy of an earlier statement within the content of another object can.
     */
    private boolean precedesRemoval(ObjectWrite write) {
        ObjectWrite removal = removed.get(write.name());
        return removal != null
                && removedByChange.contains(write.name())
                && removal.revision().era() == write.revision().era()
                && !removal.revision().precedes(write.revision());
    }

    private boolean isOlderThanKnown(ObjectWrite write) {
        return isOlder(write, present.get(write.name()));
    }

    /** Tells whether the writer wrote something older than what was known before the restore. */
    private boolean isOlder(ObjectWrite write, ObjectWrite known) {
        return known != null
                && isOfEarlierEra(known)
                && write.stamp().isPresent()
                && known.stamp().isPresent()
                && isOlder(write.stamp().get(), known.stamp().get());
    }

    /**
     * Compares stamps; those of different incarnations only soon after a restore, as a writer's clock may have been set
     * back.
     */
    private boolean isOlder(WriteStamp stamp, WriteStamp known) {
        boolean comparable = writersExpected || stamp.incarnation() == known.incarnation();
        return comparable && stamp.compareTo(known) < 0;
    }

    private boolean staysPresent(ObjectWrite known, long nowMs) {
        return settling && isOfEarlierEra(known) && nowMs < restoreNoticedMs + retentionMs;
    }

    private boolean isOfEarlierEra(ObjectWrite known) {
        return revision.isOfLaterEra(known.revision());
    }

    /**
     * Decides on a change after the last list.
     *
     * @param write the write that changed the object
     * @return whether the new state is believed; if not, the previous one stays in force
     */
    public boolean acceptChange(ObjectWrite write) {
        if (precedesKnown(write)
                || precedesRemoval(write)
                || isOlderThanKnown(write)
                || isOlder(write, removed.get(write.name()))) {
            return false;
        }
        recordPresent(write);
        return true;
    }

    /**
     * Decides on a removal after the last list.
     *
     * @param lastWrite the last write of the removed object
     * @return whether the object is removed; if not, its previous state stays in force
     */
    public boolean acceptRemoval(ObjectWrite lastWrite) {
        if (precedesKnown(lastWrite) || (writersExpected && isOlderThanKnown(lastWrite))) {
            return false;
        }
        recordRemoved(lastWrite);
        removedByChange.add(lastWrite.name());
        return true;
    }

    /**
     * Records that all changes up to a revision of the current era are known.
     *
     * @param changesRevision the revision; an earlier one changes nothing
     */
    public void advance(StoreRevision changesRevision) {
        if (revision.precedes(changesRevision)) {
            revision = changesRevision;
        }
    }

    /**
     * Returns the objects that stay in force although the restored store does not confirm them yet.
     *
     * @return their last known writes, all of earlier eras
     */
    public List<ObjectWrite> unconfirmed() {
        return settling ? ofEarlierEras(present.values()) : List.of();
    }

    /**
     * Returns the objects that stay removed although the restored store may list them.
     *
     * @return their last known writes, all of earlier eras
     */
    public List<ObjectWrite> unconfirmedRemovals() {
        return writersExpected ? ofEarlierEras(removed.values()) : List.of();
    }

    private List<ObjectWrite> ofEarlierEras(Collection<ObjectWrite> writes) {
        return writes.stream().filter(this::isOfEarlierEra).toList();
    }

    /**
     * Learns from another instance that the store was restored before this instance started.
     *
     * @param restoredMs the time at which the other instance noticed it, in milliseconds of this instance's clock
     */
    public void learnRestore(long restoredMs) {
        settling = true;
        writersExpected = true;
        restoreNoticedMs = restoredMs;
        nextListAtMs = restoredMs + SETTLING_MS;
    }

    /**
     * Learns an object that was confirmed to another instance before the store was restored.
     *
     * @param write the last known write, of an earlier era
     * @return whether it is in force here as well
     */
    public boolean learnPresent(ObjectWrite write) {
        ObjectWrite known = present.get(write.name());
        boolean newer = known == null
                || (write.stamp().isPresent()
                        && known.stamp().isPresent()
                        && write.stamp().get().compareTo(known.stamp().get()) > 0);
        if (!newer || !isOfEarlierEra(write)) {
            return false;
        }
        recordPresent(write);
        return true;
    }

    /**
     * Learns a removal that was confirmed to another instance before the store was restored.
     *
     * @param removal the last known write of the removed object, of an earlier era
     * @return whether the object is removed here as well
     */
    public boolean learnRemoval(ObjectWrite removal) {
        if (!isOfEarlierEra(removal)) {
            return false;
        }
        removed.put(removal.name(), removal);
        ObjectWrite known = present.get(removal.name());
        if (known == null || !staysRemoved(known)) {
            return false;
        }
        present.remove(removal.name());
        return true;
    }

    private void recordPresent(ObjectWrite write) {
        ObjectWrite previous = present.get(write.name());
        Optional<WriteStamp> stamp =
                write.stamp().or(() -> Optional.ofNullable(previous).flatMap(ObjectWrite::stamp));
        forgetRemoval(write.name());
        present.put(write.name(), new ObjectWrite(write.name(), write.revision(), stamp));
    }

    private void recordRemoved(ObjectWrite lastWrite) {
        ObjectWrite known = present.remove(lastWrite.name());
        Optional<WriteStamp> stamp =
                lastWrite.stamp().or(() -> Optional.ofNullable(known).flatMap(ObjectWrite::stamp));
        forgetRemoval(lastWrite.name());
        removed.put(lastWrite.name(), new ObjectWrite(lastWrite.name(), revisionOfRemoval(lastWrite), stamp));
        if (removed.size() > MAX_REMOVED_OBJECTS) {
            forgetRemoval(removed.keySet().iterator().next());
        }
    }

    private void forgetRemoval(String name) {
        removed.remove(name);
        removedByChange.remove(name);
    }

    /** Returns the revision up to which a restored store may still list the removed object. */
    private StoreRevision revisionOfRemoval(ObjectWrite removal) {
        return removal.revision().precedes(revision) ? revision : removal.revision();
    }
}
