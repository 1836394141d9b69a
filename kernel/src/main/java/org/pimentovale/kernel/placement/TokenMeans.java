package org.pimentovale.kernel.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean tokens of a request, by service, as exponential moving averages. Not thread safe; used on one event loop.
 */
public final class TokenMeans {
    private static final double LATEST_REQUEST_WEIGHT = 0.05;

    private final Map<String, Double> means = new HashMap<>();

    /**
     * Records a request that is sent.
     *
     * @param service the service's name
     * @param tokens the tokens of its prompt and the most tokens of its response
     */
    public void record(String service, long tokens) {
        means.merge(service, (double) tokens, (before, latest) -> before + LATEST_REQUEST_WEIGHT * (latest - before));
    }

    /**
     * Returns the mean tokens of a request.
     *
     * @param service the service's name
     * @param tokens the tokens of the present request, which stand in for the mean of a service without requests
     * @return the mean
     */
    public double mean(String service, long tokens) {
        return means.getOrDefault(service, (double) tokens);
    }
}
