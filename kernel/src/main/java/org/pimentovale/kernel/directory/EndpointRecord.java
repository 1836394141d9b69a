package org.pimentovale.kernel.directory;

/**
 * An endpoint's entry in the platform's list.
 *
 * @param identifier identifies the endpoint; may stay the same over restarts, see {@code startedMs}
 * @param service the name of the service that the endpoint runs
 * @param address host and port
 * @param zone its availability zone
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it accepts no new work
 * @param remainingColdMs the remaining warm-up time when the entry was written, in milliseconds
 * @param startedMs the start time of the endpoint in Unix milliseconds, zero if unknown; a change means a restart
 * @param build the version of the software that it runs, empty if unknown
 */
public record EndpointRecord(
        String identifier,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        double remainingColdMs,
        long startedMs,
        String build) {
    /**
     * Returns a text that differs for each start of the endpoint.
     *
     * @return the identifier with the start time
     */
    public String incarnation() {
        return identifier + "@" + startedMs;
    }
}
