package org.pimentovale.gateway.feed;

import java.util.List;
import org.pimentovale.gateway.port.ObjectEntry;

/** Hears what a feed learns of its kind. Called on the feed's event loop. */
public interface FeedListener {
    /**
     * Takes a whole list.
     *
     * @param entries all objects of the kind
     */
    void listed(List<ObjectEntry> entries);

    /**
     * Takes an object that was created or changed.
     *
     * @param entry the object as it is now
     */
    void changed(ObjectEntry entry);

    /**
     * Takes the news that an object is gone.
     *
     * @param entry the object as it was
     */
    void removed(ObjectEntry entry);

    /** Takes the news that the store answers again; called before what it answered. */
    default void storeAvailable() {}
}
