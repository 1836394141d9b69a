package org.pimentovale.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A table of versioned objects in memory, with conditional writes.
 *
 * <p>Invariant: versions increase over all objects and are never reused. Thread safe; the only lock is the table's
 * monitor, and listeners are called without holding it.
 */
public final class InMemoryObjectTable {
    private final Map<String, Map<String, StoredObject>> kinds = new HashMap<>();
    private final List<Consumer<StoredObject>> listeners = new ArrayList<>();
    private long lastVersion;

    /**
     * Reads an object.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @return the object, empty if absent
     */
    public synchronized Optional<StoredObject> read(String kind, String name) {
        return Optional.ofNullable(objectsOf(kind).get(name));
    }

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind of the object
     * @return the objects in order of their names
     */
    public synchronized List<StoredObject> list(String kind) {
        return List.copyOf(objectsOf(kind).values());
    }

    /**
     * Writes an object if its current version is the expected one.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param expectedVersion the expected version, zero if the object must be absent
     * @param value the new value, which must not be changed afterwards
     * @return the written object, or the conflict with the current one
     */
    public WriteResult write(String kind, String name, long expectedVersion, byte[] value) {
        StoredObject written;
        List<Consumer<StoredObject>> currentListeners;
        synchronized (this) {
            StoredObject current = objectsOf(kind).get(name);
            long currentVersion = current == null ? 0 : current.version();
            if (currentVersion != expectedVersion) {
                return new WriteResult.Conflict(Optional.ofNullable(current));
            }
            lastVersion++;
            written = new StoredObject(kind, name, lastVersion, value);
            objectsOf(kind).put(name, written);
            currentListeners = List.copyOf(listeners);
        }
        currentListeners.forEach(listener -> listener.accept(written));
        return new WriteResult.Accepted(written);
    }

    /**
     * Deletes an object if its current version is the expected one.
     *
     * @param kind the kind of the object
     * @param name the name within the kind
     * @param expectedVersion the expected version
     * @return true if the object was deleted or is absent, false if it has another version
     */
    public synchronized boolean delete(String kind, String name, long expectedVersion) {
        StoredObject current = objectsOf(kind).get(name);
        if (current == null) {
            return true;
        }
        return current.version() == expectedVersion && objectsOf(kind).remove(name, current);
    }

    /**
     * Registers a listener of writes.
     *
     * @param listener called with the written object after each successful write, not after a deletion
     */
    public synchronized void addListener(Consumer<StoredObject> listener) {
        listeners.add(listener);
    }

    private Map<String, StoredObject> objectsOf(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }
}
