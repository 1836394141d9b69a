package org.pimentovale.kernel.hedge;

/**
 * How often a gateway may report on the hedges of a service. Stateless and thread safe.
 *
 * <p>Half of the reports that an owner can take are regular, the other half ask for permits. So that one gateway that
 * owns all services gets no more either, the interval grows with the number of services.
 */
public final class HedgeReportRate {
    /** The greatest number of reports that an owner gets in a second. */
    public static final int MAX_REPORTS_PER_SECOND = 150;

    private static final int KINDS_OF_REPORTS = 2;
    private static final long MIN_INTERVAL_MS = 1_000;
    // Short requests and their durations are reported together. Without a report, requests do not count for the quota.
    private static final long COLLECTION_MS = 100;

    private HedgeReportRate() {}

    /**
     * Returns the least time between two regular reports, and between two reports that ask for permits.
     *
     * @param gateways the number of known gateways
     * @param services the number of services on which this gateway reports
     * @return milliseconds
     */
    public static long intervalMs(int gateways, int services) {
        double reportsPerRound = (double) KINDS_OF_REPORTS * gateways * Math.max(1, services);
        return Math.max(MIN_INTERVAL_MS, (long) Math.ceil(1_000 * reportsPerRound / MAX_REPORTS_PER_SECOND));
    }

    /**
     * Returns when to send a regular report of what has just been recorded.
     *
     * @param latestMs the time of the latest regular report in milliseconds
     * @param nowMs the current time in milliseconds
     * @param intervalMs the least time between two such reports in milliseconds
     * @return the time in milliseconds
     */
    public static long regularReportMs(long latestMs, long nowMs, long intervalMs) {
        return Math.max(nowMs + COLLECTION_MS, latestMs + intervalMs);
    }
}
