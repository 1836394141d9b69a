package org.pimentovale.kernel.endpoint;

/**
 * News that an incarnation of an endpoint is warm. Immutable and thread safe.
 *
 * @param address the endpoint's host and port
 * @param incarnation the incarnation that is warm
 */
public record EndpointIncarnation(String address, String incarnation) {}
