package org.pimentovale.gateway.port;

/**
 * The registration of a gateway that its peers read from the store.
 *
 * @param name the instance's unique name
 * @param address host and port on which it serves its peers
 * @param zone the availability zone in which it runs
 * @param linkMbps the bandwidth of its network link in megabits per second, zero if unknown
 */
public record InstanceRecord(String name, String address, String zone, double linkMbps) {
    /**
     * Creates the registration of a gateway whose link is not known.
     *
     * @param name the instance's unique name
     * @param address host and port on which it serves its peers
     * @param zone the availability zone in which it runs
     */
    public InstanceRecord(String name, String address, String zone) {
        this(name, address, zone, 0);
    }
}
