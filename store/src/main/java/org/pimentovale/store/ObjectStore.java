package org.pimentovale.store;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/**
 * The platform's object API. A future that fails leaves open whether a write took effect, now or later; every call ends
 * within the call time-out of the implementation. Implementations are thread safe.
 */
public interface ObjectStore {
    /**
     * Reads an object; the answer may be stale.
     *
     * @param kind the kind
     * @param name the name
     * @return the object, or empty
     */
    Future<Optional<StoredObject>> read(String kind, String name);

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @return the objects
     */
    Future<List<StoredObject>> list(String kind);

    /**
     * Creates an object where none stands under its name.
     *
     * @param kind the kind
     * @param name the name
     * @param value the value
     * @return accepted, or the conflict with what stands there
     */
    Future<WriteResult> create(String kind, String name, byte[] value);

    /**
     * Replaces an object that still has a given version.
     *
     * @param kind the kind
     * @param name the name
     * @param version the version that must be current
     * @param value the new value
     * @return accepted, or the conflict with what stands there
     */
    Future<WriteResult> update(String kind, String name, long version, byte[] value);

    /**
     * Removes an object that still has a given version.
     *
     * @param kind the kind
     * @param name the name
     * @param version the version that must be current
     * @return whether it is gone
     */
    Future<Boolean> delete(String kind, String name, long version);

    /**
     * Waits for an object to change.
     *
     * @param kind the kind
     * @param name the name
     * @param knownVersion the version known to the caller, zero for none
     * @param waitMs the longest wait in milliseconds
     * @return the object once its version is greater, or empty after the wait
     */
    Future<Optional<StoredObject>> awaitChange(String kind, String name, long knownVersion, int waitMs);
}
