package org.pimentovale.store;

import java.util.Optional;

/** The result of a conditional write. Immutable and thread safe. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param object the written object
     */
    record Accepted(StoredObject object) implements WriteResult {}

    /**
     * The condition did not hold; nothing was written.
     *
     * @param current the current object, empty if there is none
     */
    record Conflict(Optional<StoredObject> current) implements WriteResult {}
}
