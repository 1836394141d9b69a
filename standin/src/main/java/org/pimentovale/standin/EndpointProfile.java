package org.pimentovale.standin;

/**
 * What an endpoint stand-in bears and how fast it is. Immutable and thread safe.
 *
 * @param limit requests that it runs at once; more wait
 * @param coldLimit requests at once beyond which it falls over while cold
 * @param coldRequests requests after which it is warm
 * @param workMs time for a request, or until the first token of one
 * @param tokenMs time between two tokens without load
 * @param tokens tokens of an answer that names no number
 * @param reportLagMs age of the load that it reports
 */
public record EndpointProfile(
        int limit, int coldLimit, int coldRequests, int workMs, int tokenMs, int tokens, int reportLagMs) {}
