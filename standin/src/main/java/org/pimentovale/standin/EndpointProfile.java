package org.pimentovale.standin;

/**
 * Capacity and latency of an endpoint stand-in. Immutable and thread safe.
 *
 * @param limit maximum number of requests processed concurrently; further requests are queued
 * @param coldLimit number of concurrent requests above which a cold endpoint fails and restarts
 * @param coldRequests number of completed requests after which the endpoint is warm; zero for always warm
 * @param workMs time of a service call, or time to the first token of a stream, in milliseconds
 * @param tokenMs time between two tokens without load, in milliseconds
 * @param tokens maximum number of tokens of a response, also the default
 * @param reportLagMs interval at which the reported load is refreshed, in milliseconds; zero for the current load
 */
public record EndpointProfile(
        int limit, int coldLimit, int coldRequests, int workMs, int tokenMs, int tokens, int reportLagMs) {}
