package org.pimentovale.kernel.endpoint;

/**
 * An incarnation of an endpoint, usually one that has become warm. Immutable and thread safe.
 *
 * @param address the endpoint's host and port
 * @param incarnation identifier of the incarnation
 */
public record EndpointIncarnation(String address, String incarnation) {}
