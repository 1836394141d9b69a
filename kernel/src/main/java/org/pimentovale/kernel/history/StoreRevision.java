package org.pimentovale.kernel.history;

/**
 * A revision of the store, together with the history to which it belongs.
 *
 * <p>A store that is restored from a backup starts a new era and assigns revisions again that it has assigned before.
 * Two revisions are therefore ordered only within the same era. Immutable and thread safe.
 *
 * @param era the number of the history, which increases each time the store is restored; zero if the store names none
 * @param revision the revision within that history
 */
public record StoreRevision(long era, long revision) {
    /** Precedes all revisions of all stores. */
    public static final StoreRevision NONE = new StoreRevision(-1, -1);

    /**
     * Tells whether this revision belongs to a later history than another one.
     *
     * @param other the other revision
     * @return whether the store was restored in between
     */
    public boolean isOfLaterEra(StoreRevision other) {
        return era > other.era;
    }

    /**
     * Tells whether this revision precedes another one: it belongs to an earlier history, or is lower in the same one.
     *
     * @param other the other revision
     * @return whether a response with this revision is outdated for a reader that knows the other one
     */
    public boolean precedes(StoreRevision other) {
        return era < other.era || (era == other.era && revision < other.revision);
    }
}
