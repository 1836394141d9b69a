package org.pimentovale.store;

/**
 * An object of the platform's store. The value must not be changed after construction; then thread safe.
 *
 * @param kind the object's kind, such as {@code configuration}
 * @param name its name within the kind
 * @param version grows with each change of the object; never used twice
 * @param value at most one megabyte
 */
@SuppressWarnings("ArrayRecordComponent") // Values are opaque and never compared.
public record StoredObject(String kind, String name, long version, byte[] value) {}
