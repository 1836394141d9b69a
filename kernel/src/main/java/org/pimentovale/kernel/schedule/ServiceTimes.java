package org.pimentovale.kernel.schedule;

/**
 * The learnt service times of a pool's calls, in milliseconds. Invariant: each value starts at the expected time of the
 * pool's configuration. Not thread safe.
 */
final class ServiceTimes {
    private static final double MEAN_SMOOTHING = 0.1;
    private static final double FAST_QUANTILE = 0.2;
    private static final double SLOW_QUANTILE = 0.95;

    private final QuantileEstimator fastMs;
    private final QuantileEstimator slowMs;
    private double meanMs;
    private double unloadedMs;

    ServiceTimes(double expectedMs) {
        this.fastMs = new QuantileEstimator(FAST_QUANTILE, expectedMs);
        this.slowMs = new QuantileEstimator(SLOW_QUANTILE, expectedMs);
        this.meanMs = expectedMs;
        this.unloadedMs = expectedMs;
    }

    /** Adds a completed call; the load is the part of the endpoint's limit that was taken when it was granted. */
    void add(double serviceMs, double load) {
        unloadedMs += MEAN_SMOOTHING * (serviceMs / (1 + load) - unloadedMs);
        meanMs += MEAN_SMOOTHING * (serviceMs - meanMs);
        fastMs.add(serviceMs);
        slowMs.add(serviceMs);
    }

    double fastMs() {
        return fastMs.value();
    }

    double slowMs() {
        return slowMs.value();
    }

    double meanMs() {
        return meanMs;
    }

    /** Returns the mean time of a call at an endpoint without other calls. */
    double unloadedMs() {
        return unloadedMs;
    }
}
