package org.pimentovale.store;

/**
 * An object of the platform's store. Thread safe if the value is not changed after construction.
 *
 * @param kind the kind of the object, such as {@code configuration}
 * @param name the name within the kind
 * @param version increases with each change of any object of the store and is not reused within an era
 * @param value the content, at most 1 MiB
 */
@SuppressWarnings("ArrayRecordComponent") // Values are opaque and are never compared.
public record StoredObject(String kind, String name, long version, byte[] value) {}
