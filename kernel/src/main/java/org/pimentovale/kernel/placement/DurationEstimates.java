package org.pimentovale.kernel.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates durations by name, as exponential moving averages of past measurements. Not thread safe.
 */
public final class DurationEstimates {
    private static final double LATEST_SAMPLE_WEIGHT = 0.15;

    private final double initialMs;
    private final Map<String, Double> meansMs = new HashMap<>();

    /**
     * Creates estimates without measurements.
     *
     * @param initialMs the estimate for names without measurements, in milliseconds
     */
    public DurationEstimates(double initialMs) {
        this.initialMs = initialMs;
    }

    /**
     * Records a measurement.
     *
     * @param name the name of the measured operation
     * @param durationMs the measured duration in milliseconds
     */
    public void record(String name, double durationMs) {
        meansMs.merge(name, durationMs, (before, latest) -> before + LATEST_SAMPLE_WEIGHT * (latest - before));
    }

    /**
     * Returns the estimated duration of an operation.
     *
     * @param name the name of the operation
     * @return the duration in milliseconds
     */
    public double expectedMs(String name) {
        return meansMs.getOrDefault(name, initialMs);
    }
}
