package org.pimentovale.gateway.port;

import io.vertx.core.Future;
import java.util.Optional;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

/** Access to the platform's object store. Every call completes within a bounded time. Thread safe. */
public interface PlatformStore {
    /**
     * Lists the objects of a kind. The result is at least as recent as the call.
     *
     * @param kind the kind to list
     * @param after the name after which the page starts, empty for the first page
     * @return a page of the list
     */
    Future<ObjectPage> list(ObjectKind kind, Optional<String> after);

    /**
     * Waits for changes of a kind. Changes of {@link ObjectKind#INSTANCES} may be delivered with a delay of seconds.
     *
     * @param kind the kind to watch
     * @param revision the revision after which changes are returned
     * @param waitMs the maximum wait, in milliseconds
     * @return the request in progress
     */
    PendingWatch watch(ObjectKind kind, long revision, int waitMs);

    /**
     * Creates or replaces the object of an instance.
     *
     * @param instance the instance to register
     * @return completes when the object is written
     */
    Future<Void> register(InstanceRecord instance);

    /**
     * Removes the object of an instance.
     *
     * @param name the instance's name
     * @return completes when the object is removed
     */
    Future<Void> deregister(String name);

    /**
     * Stores the object of a quarantined key, if it does not exist.
     *
     * @param key the quarantined key
     * @return completes when the object exists
     */
    Future<Void> storeQuarantine(SuspectKey key);

    /**
     * Replaces the checkpoint of the history of builds and routes, of which there is one.
     *
     * @param checkpoint the checkpoint
     * @return completes when it is written
     */
    Future<Void> storeCheckpoint(HistoryCheckpoint checkpoint);

    /**
     * Reads the checkpoint of the history of builds and routes.
     *
     * @return the checkpoint, empty if there is none or its content is not valid
     */
    Future<Optional<HistoryCheckpoint>> readCheckpoint();

    /**
     * Removes the object of a key that is not quarantined any more.
     *
     * @param key the key
     * @return completes when the object does not exist
     */
    Future<Void> removeQuarantine(SuspectKey key);

    /**
     * Returns the access to what gateways write of roll-outs.
     *
     * @return the access
     * @throws UnsupportedOperationException if the store holds no orders for roll-outs
     */
    default RolloutStore rollouts() {
        throw new UnsupportedOperationException("this store holds no orders for roll-outs");
    }
}
