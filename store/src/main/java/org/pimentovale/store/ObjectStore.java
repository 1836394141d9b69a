package org.pimentovale.store;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/**
 * Access to the versioned objects of a platform's store. If the future of a write fails, the write may have taken
 * effect or may still do so. Every call ends within the call timeout of the implementation; {@link #awaitChange} ends
 * within its maximum wait and a margin. Implementations are thread safe.
 */
public interface ObjectStore {
    /**
     * Returns the latest era of the store that any response has named. A store that is restored from a backup has lost
     * its last writes, may assign their versions again, and names a later era in all responses. The era of a response
     * is known before the future of its call completes.
     *
     * @return the era, 1 in a store that was never restored; zero if the store names none or has not responded yet
     */
    long era();

    /**
     * Reads an object; the result may be stale.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @return the object, empty if absent
     */
    Future<Optional<StoredObject>> read(String kind, String name);

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind of the objects
     * @return the objects
     */
    Future<List<StoredObject>> list(String kind);

    /**
     * Creates an object if there is none with its kind and name.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param value the value
     * @return the written object, or the conflict with the current one
     */
    Future<WriteResult> create(String kind, String name, byte[] value);

    /**
     * Replaces an object if its current version is the expected one.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param version the expected version
     * @param value the new value
     * @return the written object, or the conflict with the current one
     */
    Future<WriteResult> update(String kind, String name, long version, byte[] value);

    /**
     * Deletes an object if its current version is the expected one.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param version the expected version
     * @return true if the object was deleted or is absent, false if the version did not match
     */
    Future<Boolean> delete(String kind, String name, long version);

    /**
     * Waits for a change of an object.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param knownVersion the version known to the caller, zero if none
     * @param waitMs the maximum wait in milliseconds
     * @return the object when its version is greater than the known one, empty if the wait ends before
     */
    Future<Optional<StoredObject>> awaitChange(String kind, String name, long knownVersion, int waitMs);
}
