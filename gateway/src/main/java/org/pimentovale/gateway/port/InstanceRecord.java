package org.pimentovale.gateway.port;

/**
 * The registration of a gateway that its peers read from the store.
 *
 * @param name the instance's unique name
 * @param address host and port on which it serves its peers
 * @param zone the availability zone in which it runs
 */
public record InstanceRecord(String name, String address, String zone) {}
