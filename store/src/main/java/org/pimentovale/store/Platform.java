package org.pimentovale.store;

import io.vertx.core.Future;
import java.util.List;

/** What the platform gives: the object store and the list of instances. Implementations are thread safe. */
public interface Platform {
    /**
     * Returns the object store.
     *
     * @return the store
     */
    ObjectStore objectStore();

    /**
     * Reads the lagging list of live and leaving instances.
     *
     * @return the list
     */
    Future<List<PlatformInstance>> instances();
}
