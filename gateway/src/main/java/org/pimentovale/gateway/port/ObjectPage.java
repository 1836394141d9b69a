package org.pimentovale.gateway.port;

import java.util.List;

/**
 * A part of the list of a kind.
 *
 * @param entries the objects
 * @param hasMore whether the list goes on behind the last of them
 * @param revision the store's revision of the answer
 */
public record ObjectPage(List<ObjectEntry> entries, boolean hasMore, long revision) {
    /** Copies the list. */
    public ObjectPage {
        entries = List.copyOf(entries);
    }
}
