package org.pimentovale.gateway.port;

import java.util.List;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * A page of the list of a kind's objects.
 *
 * @param entries the objects on this page
 * @param hasMore whether the list continues after the last entry
 * @param revision the store revision of the response
 */
public record ObjectPage(List<ObjectEntry> entries, boolean hasMore, StoreRevision revision) {
    /** Copies the list. */
    public ObjectPage {
        entries = List.copyOf(entries);
    }
}
