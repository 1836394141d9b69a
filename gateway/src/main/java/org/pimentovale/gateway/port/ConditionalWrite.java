package org.pimentovale.gateway.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The result of a write that the store makes only if the object has not changed.
 *
 * @param written whether the write was made
 * @param current the content that the store holds now, empty if there is none or it cannot be decoded
 * @param revision the revision of the object, empty if it does not exist
 */
public record ConditionalWrite<T>(boolean written, Optional<T> current, OptionalLong revision) {}
