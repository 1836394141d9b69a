package org.pimentovale.store;

/**
 * An entry of the platform's list of instances, which may lag behind the actual state. Immutable and thread safe.
 *
 * @param address host and port
 * @param leaving whether the platform is about to remove the instance
 */
public record PlatformInstance(String address, boolean leaving) {}
