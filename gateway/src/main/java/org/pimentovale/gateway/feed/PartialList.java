package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * <p>Invariants: all pages belong to the same era of the store; the content of all entries fits the budget. Not thread
 * safe; used on one event loop.
 */
final class PartialList {
    private final ContentBudget budget;
    private final List<ObjectEntry> entries = new ArrayList<>();
    private StoreRevision revision = StoreRevision.NONE;
    private long contentBytes;
    private int droppedContents;

    /**
     * Creates an empty list.
     *
     * @param budget the memory for the content of all entries
     */
    PartialList(ContentBudget budget) {
        this.budget = budget;
    }

    /** Adds the next page; returns false if the store was restored since the previous one. */
    boolean add(ObjectPage page) {
        if (revision.equals(StoreRevision.NONE)) {
            revision = page.revision();
        }
        entries.addAll(page.entries());
        contentBytes += page.entries().stream()
                .mapToLong(entry -> entry.value().bytes())
                .sum();
        if (budget.isExceededBy(contentBytes)) {
            dropLongestContents();
        }
        return revision.era() == page.revision().era();
    }

    private void dropLongestContents() {
        int longestKept = budget.longestKept(
                entries.stream().map(entry -> entry.value().bytes()).toList());
        contentBytes = 0;
        for (int index = 0; index < entries.size(); index++) {
            ObjectEntry entry = entries.get(index);
            if (entry.value().bytes() > longestKept) {
                entries.set(index, entry.withoutContent());
                droppedContents++;
            } else {
                contentBytes += entry.value().bytes();
            }
        }
    }

    /** Returns the name after which the next page starts, empty for the first page. */
    Optional<String> lastName() {
        return entries.isEmpty()
                ? Optional.empty()
                : Optional.of(entries.get(entries.size() - 1).name());
    }

    List<ObjectEntry> entries() {
        return entries;
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
