package org.pimentovale.gateway.port;

/**
 * A gateway as its peers know it.
 *
 * @param name its name
 * @param address host and port for its peers
 * @param zone its availability zone
 */
public record InstanceRecord(String name, String address, String zone) {}
