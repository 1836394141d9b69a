package org.pimentovale.gateway.feed;

import java.util.List;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.kernel.history.StoreOutage;

/** Receives the objects of a feed's kind and their changes. Called on the feed's event loop. */
public interface FeedListener {
    /**
     * Receives a complete list, which replaces all objects received before, except the retained ones.
     *
     * @param entries the objects whose listed state is in force
     * @param retained the names of further objects, whose state received before stays in force
     */
    void listed(List<ObjectEntry> entries, Set<String> retained);

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

    /**
     * Receives an object that stays removed, although the store lists it again after it was restored from a backup.
     *
     * @param entry the listed state of the object
     */
    default void reappeared(ObjectEntry entry) {}

    /**
     * Called when the store responds again after a failure, or was restored, before the content of that response is
     * delivered.
     *
     * @param outage the outage that has ended
     */
    default void storeAvailable(StoreOutage outage) {}
}
