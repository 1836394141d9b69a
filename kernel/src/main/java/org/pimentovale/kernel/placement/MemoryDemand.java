package org.pimentovale.kernel.placement;

/**
 * The memory that a request needs at an endpoint, compared with that of each endpoint of its service.
 *
 * @param requestTokens the tokens of the prompt and the most tokens of the response
 * @param capacityTokens the tokens of running requests that the memory of one endpoint holds
 * @param meanTokens the mean tokens of the service's requests, from which those of other instances are estimated
 */
public record MemoryDemand(long requestTokens, long capacityTokens, double meanTokens) {}
