package org.pimentovale.store;

import java.util.Optional;

/** What the store answered to a conditional write. Immutable and thread safe. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param object the object as it is now
     */
    record Accepted(StoredObject object) implements WriteResult {}

    /**
     * The condition did not hold.
     *
     * @param current the object that stands there, or empty where there is none
     */
    record Conflict(Optional<StoredObject> current) implements WriteResult {}
}
