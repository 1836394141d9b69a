package org.pimentovale.gateway.port;

import java.util.Optional;
import org.pimentovale.kernel.history.ObjectWrite;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.history.WriteStamp;

/**
 * An object in the store.
 *
 * @param name the object's name, unique within its kind
 * @param revision the store revision of its last change
 * @param stamp the order in which its writer wrote it, empty if the content does not tell
 * @param value the object's content
 */
public record ObjectEntry(String name, StoreRevision revision, Optional<WriteStamp> stamp, StoredContent value) {
    /**
     * Returns the write that led to this state.
     *
     * @return the write, without the content
     */
    public ObjectWrite write() {
        return new ObjectWrite(name, revision, stamp);
    }

    /**
     * Returns this state of the object without its content.
     *
     * @return an entry whose content counts as rejected
     */
    public ObjectEntry withoutContent() {
        return new ObjectEntry(name, revision, stamp, StoredContent.REJECTED);
    }
}
