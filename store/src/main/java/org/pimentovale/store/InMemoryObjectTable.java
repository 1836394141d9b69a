package org.pimentovale.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Objects in memory with versions and conditional writes.
 *
 * <p>Invariant: versions grow over all objects and are never used twice. Thread safe; the one lock is the table's, and
 * listeners are called outside it.
 */
public final class InMemoryObjectTable {
    private final Map<String, Map<String, StoredObject>> kinds = new HashMap<>();
    private final List<Consumer<StoredObject>> listeners = new ArrayList<>();
    private long lastVersion;

    /**
     * Reads an object.
     *
     * @param kind the kind
     * @param name the name
     * @return the object, or empty
     */
    public synchronized Optional<StoredObject> read(String kind, String name) {
        return Optional.ofNullable(objectsOf(kind).get(name));
    }

    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @return the objects, by name
     */
    public synchronized List<StoredObject> list(String kind) {
        return List.copyOf(objectsOf(kind).values());
    }

    /**
     * Writes an object where its version is the expected one.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion the version that must be current, zero where the object must be absent
     * @param value the new value
     * @return accepted, or the conflict
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
     * Removes an object where its version is the expected one.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion the version that must be current
     * @return whether the object is absent now
     */
    public synchronized boolean delete(String kind, String name, long expectedVersion) {
        StoredObject current = objectsOf(kind).get(name);
        if (current == null) {
            return true;
        }
        return current.version() == expectedVersion && objectsOf(kind).remove(name, current);
    }

    /**
     * Registers a listener of changes.
     *
     * @param listener called after each write
     */
    public synchronized void addListener(Consumer<StoredObject> listener) {
        listeners.add(listener);
    }

    private Map<String, StoredObject> objectsOf(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }
}
