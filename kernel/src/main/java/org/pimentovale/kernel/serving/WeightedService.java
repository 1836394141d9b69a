package org.pimentovale.kernel.serving;

/**
 * A final service of a route with its share of the requests.
 *
 * @param service the service's name
 * @param weight the share of the requests, relative to the other weights of the route
 */
public record WeightedService(String service, double weight) {}
