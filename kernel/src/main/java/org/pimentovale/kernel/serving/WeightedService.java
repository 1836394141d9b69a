package org.pimentovale.kernel.serving;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service the service's name
 * @param weight its share, relative to the other weights of the route
 */
public record WeightedService(String service, double weight) {}
