package org.pimentovale.kernel.routing;

/**
 * An endpoint with capacity for a request, as input to a routing policy. Immutable and thread safe.
 *
 * @param address host and port
 * @param sameZone whether the endpoint is in this instance's availability zone
 * @param ownInFlight number of this instance's requests that the endpoint runs
 * @param totalInFlight estimated number of requests that the endpoint runs, from all instances
 * @param limit maximum number of concurrent requests, over all instances
 * @param unloadedServiceMs estimated service time without load in milliseconds
 * @param prefixCached whether the endpoint probably has the request's prompt prefix in its cache
 * @param cold whether the endpoint is cold
 */
public record Candidate(
        String address,
        boolean sameZone,
        int ownInFlight,
        int totalInFlight,
        int limit,
        double unloadedServiceMs,
        boolean prefixCached,
        boolean cold) {}
