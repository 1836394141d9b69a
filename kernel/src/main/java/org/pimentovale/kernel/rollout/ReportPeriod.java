package org.pimentovale.kernel.rollout;

/**
 * How often the gateways report to the decider of an order, and the times that depend on it. All of them grow with the
 * fleet, so that a decider receives at most 150 regular reports a second for an order.
 *
 * @param gateways the number of known gateways
 */
public record ReportPeriod(int gateways) {
    private static final long MIN_PERIOD_MS = 500;
    // As many gateways send 150 reports a second with the shortest period.
    private static final int SMALL_FLEET = 75;
    // A tenth less than the limit, since coarse timers shift reports from one second into the next.
    private static final int REPORTS_PER_SECOND = 135;
    private static final int MAX_REPORTS_PER_SECOND = 150;
    private static final double MS_PER_SECOND = 1_000;
    // Covers two lost reports in a row with the shortest period.
    private static final long TOLERANCE_MS = 1_000;
    private static final long MIN_SILENCE_MS = MIN_PERIOD_MS + TOLERANCE_MS;
    // Short against the duration of an order, so that each endpoint is selected during the trial.
    private static final long MIN_ROTATION_MS = 1_500;
    // A bad build's requests at a gateway without contact to the decider end this long before the bound.
    private static final long ROLLBACK_MARGIN_MS = 1_000;

    /**
     * Returns the time between two regular reports of a gateway.
     *
     * @return milliseconds
     */
    public long periodMs() {
        return isExtended() ? (long) Math.ceil(gateways * MS_PER_SECOND / REPORTS_PER_SECOND) : MIN_PERIOD_MS;
    }

    /**
     * Returns how many reports a gateway may send beyond the regular ones, if all gateways send as many.
     *
     * @return reports per millisecond
     */
    public double earlyReportsPerMs() {
        double regularPerSecond = gateways * MS_PER_SECOND / periodMs();
        return Math.max(0, MAX_REPORTS_PER_SECOND - regularPerSecond) / gateways / MS_PER_SECOND;
    }

    /**
     * Tells whether the period is longer than in a small fleet, so that first reports are spread over it.
     *
     * @return whether it is
     */
    public boolean isExtended() {
        return gateways > SMALL_FLEET;
    }

    /**
     * Returns how old the last report of a gateway that counts as responsive may be.
     *
     * @return milliseconds
     */
    public long responsiveMs() {
        return periodMs() + TOLERANCE_MS;
    }

    /**
     * Returns how long a gateway sends requests to canary endpoints without hearing from the decider. In a very large
     * fleet this is less than the period, so that trials pause rather than last beyond the bound.
     *
     * @param rollbackMs the time within which a bad build gets no more requests, in milliseconds
     * @return milliseconds
     */
    public long silenceMs(long rollbackMs) {
        return Math.max(MIN_SILENCE_MS, Math.min(periodMs() + TOLERANCE_MS, rollbackMs - ROLLBACK_MARGIN_MS));
    }

    /**
     * Returns how long a selection of canary endpoints lasts: no less than gateways take to learn of it, or more
     * endpoints than selected would share the load of the trial.
     *
     * @return milliseconds
     */
    public long rotationMs() {
        return Math.max(MIN_ROTATION_MS, periodMs());
    }
}
