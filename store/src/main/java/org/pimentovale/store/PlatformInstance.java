package org.pimentovale.store;

/**
 * An entry of the platform's lagging list of instances. Immutable and thread safe.
 *
 * @param address host and port
 * @param leaving whether the platform is about to take the instance away
 */
public record PlatformInstance(String address, boolean leaving) {}
