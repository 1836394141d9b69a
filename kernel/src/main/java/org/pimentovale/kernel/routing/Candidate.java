package org.pimentovale.kernel.routing;

/**
 * An endpoint that may take the request now, as a routing policy sees it. Immutable and thread safe.
 *
 * @param address host and port
 * @param sameZone whether it stands in this instance's availability zone
 * @param ownInFlight requests of this instance that it runs
 * @param totalInFlight requests that it is believed to run, over all instances
 * @param limit requests that it bears at once
 * @param baseMs service time at no load in milliseconds
 * @param prefixCached whether it is believed to hold the request's prefix
 * @param cold whether it is cold
 */
public record Candidate(
        String address,
        boolean sameZone,
        int ownInFlight,
        int totalInFlight,
        int limit,
        double baseMs,
        boolean prefixCached,
        boolean cold) {}
