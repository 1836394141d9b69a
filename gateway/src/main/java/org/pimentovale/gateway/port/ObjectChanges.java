package org.pimentovale.gateway.port;

import java.util.List;
import org.pimentovale.kernel.history.StoreRevision;

/**
 * Changes to the objects of a kind.
 *
 * @param changes the changes, in the order of their revisions
 * @param revision the store revision up to which the changes are complete
 */
public record ObjectChanges(List<Change> changes, StoreRevision revision) {
    /** Copies the list. */
    public ObjectChanges {
        changes = List.copyOf(changes);
    }

    /**
     * The change of a single object.
     *
     * @param entry the current state of the object, or its last state if it was removed
     * @param removed whether the object was removed
     */
    public record Change(ObjectEntry entry, boolean removed) {}
}
