package org.pimentovale.gateway.feed;

import java.util.List;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.ObjectWrite;

/**
 * What was confirmed of one kind before the store was restored, and is not written again yet.
 *
 * @param kind the kind
 * @param restoredAgoMs the time since the restore was noticed, in milliseconds
 * @param present the objects that stay in force
 * @param removed the last writes of the objects that stay removed
 */
public record ConfirmedObjects(
        ObjectKind kind, long restoredAgoMs, List<ObjectEntry> present, List<ObjectWrite> removed) {
    /** Copies the lists. */
    public ConfirmedObjects {
        present = List.copyOf(present);
        removed = List.copyOf(removed);
    }
}
