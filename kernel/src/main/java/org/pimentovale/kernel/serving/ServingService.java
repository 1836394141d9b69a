package org.pimentovale.kernel.serving;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A service and the limits of its endpoints.
 *
 * @param name the service's name
 * @param coldRequestsPerSecond the maximum request rate of a cold endpoint, per second, zero for no limit
 * @param pieces the limits for pieces, empty if the service does not work on pieces
 * @param memoryTokens the tokens of running requests that the memory of one endpoint holds, empty if not stated
 */
public record ServingService(
        String name, double coldRequestsPerSecond, Optional<PieceLimits> pieces, OptionalLong memoryTokens) {
    /**
     * Creates a service whose endpoints state no memory.
     *
     * @param name the service's name
     * @param coldRequestsPerSecond the maximum request rate of a cold endpoint, per second, zero for no limit
     * @param pieces the limits for pieces, empty if the service does not work on pieces
     */
    public ServingService(String name, double coldRequestsPerSecond, Optional<PieceLimits> pieces) {
        this(name, coldRequestsPerSecond, pieces, OptionalLong.empty());
    }

    /**
     * Tells whether an idle endpoint can hold a request.
     *
     * @param tokens the tokens of its prompt and the most tokens of its response
     * @return false if the endpoints state their memory and it is smaller
     */
    public boolean canHold(long tokens) {
        return memoryTokens.isEmpty() || tokens <= memoryTokens.getAsLong();
    }
}
