package org.pimentovale.gateway.port;

import io.vertx.core.Future;
import java.util.Optional;

/** The platform's store, as a gateway uses it. Every call ends within a bounded time. Thread safe. */
public interface PlatformStore {
    /**
     * Lists a kind, no staler than its call.
     *
     * @param kind the kind
     * @param after the name behind which the list goes on, empty for its beginning
     * @return a part of the list
     */
    Future<ObjectPage> list(ObjectKind kind, Optional<String> after);

    /**
     * Waits for changes of a kind; those of {@link ObjectKind#INSTANCES} may come seconds late.
     *
     * @param kind the kind
     * @param revision the revision behind which changes are wanted
     * @param waitMs the longest wait in milliseconds
     * @return the changes, possibly none; fails with {@link org.pimentovale.error.ErrorCode#HISTORY_LOST} where the
     *     store
     *     no longer knows all of them
     */
    Future<ObjectChanges> watch(ObjectKind kind, long revision, int waitMs);

    /**
     * Writes the object of an instance, whether or not it exists.
     *
     * @param instance the instance
     * @return completes once it is written
     */
    Future<Void> register(InstanceRecord instance);

    /**
     * Removes the object of an instance.
     *
     * @param name the instance's name
     * @return completes once it is gone
     */
    Future<Void> deregister(String name);
}
