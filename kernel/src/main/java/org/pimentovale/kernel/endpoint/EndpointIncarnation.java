package org.pimentovale.kernel.endpoint;

/**
 * One incarnation of an endpoint. Immutable and thread safe.
 *
 * @param address the endpoint's host and port
 * @param incarnation identifier of the incarnation
 */
public record EndpointIncarnation(String address, String incarnation) {}
