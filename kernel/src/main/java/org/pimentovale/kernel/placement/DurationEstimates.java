package org.pimentovale.kernel.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * How long things of a name have lately taken, as moving means. Not thread safe.
 */
public final class DurationEstimates {
    private static final double LATEST_SAMPLE_WEIGHT = 0.15;

    private final double initialMs;
    private final Map<String, Double> meansMs = new HashMap<>();

    /**
     * Creates estimates without any measurement.
     *
     * @param initialMs what is expected of a name that was never measured, in milliseconds
     */
    public DurationEstimates(double initialMs) {
        this.initialMs = initialMs;
    }

    /**
     * Records a measurement.
     *
     * @param name names what was measured
     * @param durationMs how long it took, in milliseconds
     */
    public void record(String name, double durationMs) {
        meansMs.merge(name, durationMs, (before, latest) -> before + LATEST_SAMPLE_WEIGHT * (latest - before));
    }

    /**
     * Returns how long a thing will probably take.
     *
     * @param name its name
     * @return milliseconds
     */
    public double expectedMs(String name) {
        return meansMs.getOrDefault(name, initialMs);
    }
}
