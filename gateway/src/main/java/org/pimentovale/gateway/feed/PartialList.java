package org.pimentovale.gateway.feed;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.limit.ContentBudget;

/**
 * The pages of a list that have been received.
 *
 * <p>The list is complete up to the revision of its first page: of what changed later, objects of pages that had been
 * received already show nothing.
 *
 * <p>Invariants: each name occurs once; all pages belong to the same era of the store; the content of all entries fits
 * the budget. Not thread safe; used on one event loop.
 */
final class PartialList {
    private final BudgetedEntries entries;
    private Optional<String> lastName = Optional.empty();
    private StoreRevision revision = StoreRevision.NONE;
    private int droppedContents;

    /**
     * Creates an empty list.
     *
     * @param budget the memory for the content of all entries
     */
    PartialList(ContentBudget budget) {
        this.entries = new BudgetedEntries(budget);
    }

    /**
     * Adds the next page, as far as it is certain.
     *
     * @param page the page
     * @param known tells whether the content of an object is known, so that it ends where it seems to end
     * @return whether the page is of the era of the previous one
     */
    boolean add(ObjectPage page, Predicate<ObjectEntry> known) {
        if (revision.equals(StoreRevision.NONE)) {
            revision = page.revision();
        }
        page.certainEntries(known).forEach(this::add);
        return revision.era() == page.revision().era();
    }

    /** Adds an entry. Of two with the same name, one is a copy within the bytes of another object, and is older. */
    private void add(ObjectEntry entry) {
        lastName = Optional.of(entry.name());
        boolean older = entries.get(entry.name())
                .filter(other -> entry.revision().precedes(other.revision()))
                .isPresent();
        if (!older) {
            droppedContents += entries.put(entry).size();
        }
    }

    /** Returns the name after which the next page starts, empty for the first page. */
    Optional<String> lastName() {
        return lastName;
    }

    List<ObjectEntry> entries() {
        return entries.all();
    }

    /** Returns how many entries lost their content for want of memory. */
    int droppedContents() {
        return droppedContents;
    }

    /** Returns the revision after which further changes may be missing. */
    StoreRevision revision() {
        return revision;
    }
}
