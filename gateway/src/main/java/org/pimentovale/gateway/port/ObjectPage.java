package org.pimentovale.gateway.port;

import java.util.List;
import java.util.function.Predicate;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * A page of the list of a kind's objects.
 *
 * @param entries the objects on this page
 * @param hasMore whether the list continues after the last entry
 * @param revision the store revision of the response
 * @param certain whether the bounds of all objects are certain. If not, one of them holds bytes that cannot be read and
 *     may contain anything, also what looks like the objects that follow on this page; only the beginning of the first
 *     object is certain, and that of each object that follows one whose content is known
 */
public record ObjectPage(List<ObjectEntry> entries, boolean hasMore, StoreRevision revision, boolean certain) {
    /** Copies the list. */
    public ObjectPage {
        entries = List.copyOf(entries);
    }

    /**
     * Creates a page whose objects can all be read.
     *
     * @param entries the objects on this page
     * @param hasMore whether the list continues after the last entry
     * @param revision the store revision of the response
     */
    public ObjectPage(List<ObjectEntry> entries, boolean hasMore, StoreRevision revision) {
        this(entries, hasMore, revision, true);
    }

    /**
     * Returns the entries whose beginning is certain. The list goes on after the last of them.
     *
     * @param known tells whether the content of an object is known, so that it ends where it seems to end
     * @return all entries of a certain page, otherwise those up to the first that is not known
     */
    public List<ObjectEntry> certainEntries(Predicate<ObjectEntry> known) {
        if (certain) {
            return entries;
        }
        long knownCount = entries.stream().takeWhile(known).count();
        return entries.stream().limit(knownCount + 1).toList();
    }
}
