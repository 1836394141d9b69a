package org.pimentovale.gateway.feed;

import java.util.List;
import org.pimentovale.gateway.port.ObjectEntry;

/** Receives the objects of a feed's kind and their changes. Called on the feed's event loop. */
public interface FeedListener {
    /**
     * Receives a complete list, which replaces all objects received before.
     *
     * @param entries all objects of the kind
     */
    void listed(List<ObjectEntry> entries);

    /**
     * Receives an object that was created or changed.
     *
     * @param entry the current state of the object
     */
    void changed(ObjectEntry entry);

    /**
     * Receives the removal of an object.
     *
     * @param entry the last state of the object
     */
    void removed(ObjectEntry entry);

    /** Called when the store responds again after a failure, before the content of that response is delivered. */
    default void storeAvailable() {}
}
