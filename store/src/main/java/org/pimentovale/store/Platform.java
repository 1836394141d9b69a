package org.pimentovale.store;

import io.vertx.core.Future;
import java.util.List;

/** Access to a platform's object store and its list of instances. Implementations are thread safe. */
public interface Platform {
    /**
     * Returns the object store.
     *
     * @return the store
     */
    ObjectStore objectStore();

    /**
     * Reads the platform's list of live and leaving instances. The list may lag behind the actual state.
     *
     * @return the instances
     */
    Future<List<PlatformInstance>> instances();
}
