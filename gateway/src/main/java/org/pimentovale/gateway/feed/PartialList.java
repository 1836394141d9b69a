package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * The pages of a list that have been received.
 *
 * <p>The list is complete up to the revision of its first page: of what changed later, objects of pages that had been
 * received already show nothing.
 *
 * <p>Invariant: all pages belong to the same era of the store. Not thread safe; used on one event loop.
 */
final class PartialList {
    private final List<ObjectEntry> entries = new ArrayList<>();
    private StoreRevision revision = StoreRevision.NONE;

    /** Adds the next page; returns false if the store was restored since the previous one. */
    boolean add(ObjectPage page) {
        if (revision.equals(StoreRevision.NONE)) {
            revision = page.revision();
        }
        entries.addAll(page.entries());
        return revision.era() == page.revision().era();
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

    /** Returns the revision after which further changes may be missing. */
    StoreRevision revision() {
        return revision;
    }
}
