package org.pimentovale.kernel.placement;

/**
 * What is known about the memory of one endpoint when a request is placed.
 *
 * @param demand what the request needs
 * @param occupiedTokens the estimated tokens of the running and waiting requests of all instances at the endpoint
 */
public record MemoryEstimate(MemoryDemand demand, double occupiedTokens) {
    /**
     * Tells whether the endpoint has memory for the request.
     *
     * @return whether the tokens of the request fit beside the occupied ones
     */
    public boolean fits() {
        return occupiedTokens + demand.requestTokens() <= demand.capacityTokens();
    }
}
