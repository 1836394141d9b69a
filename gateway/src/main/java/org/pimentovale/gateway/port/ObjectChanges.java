package org.pimentovale.gateway.port;

import java.util.List;

/**
 * What changed in a kind.
 *
 * @param changes the changes in their order
 * @param revision the store's revision up to which they are complete
 */
public record ObjectChanges(List<Change> changes, long revision) {
    /** Copies the list. */
    public ObjectChanges {
        changes = List.copyOf(changes);
    }

    /**
     * One change.
     *
     * @param entry the object as it is now, or was before it was removed
     * @param removed whether the object is gone
     */
    public record Change(ObjectEntry entry, boolean removed) {}
}
