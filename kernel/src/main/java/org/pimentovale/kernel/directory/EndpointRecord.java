package org.pimentovale.kernel.directory;

/**
 * What an endpoint says of itself in the platform's list.
 *
 * @param identifier names this start of the endpoint, where the platform gives it a new name; see {@code bornMs}
 * @param service the service that it belongs to
 * @param address host and port
 * @param zone its availability zone
 * @param slots requests that it runs at the same time
 * @param draining whether it takes no new work
 * @param remainingColdMs how much longer it was cold when it wrote this, in milliseconds
 * @param startedMs when it started, in Unix milliseconds, zero where it does not say
 */
public record EndpointRecord(
        String identifier,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        double remainingColdMs,
        long startedMs) {}
