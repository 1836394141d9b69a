package org.pimentovale.kernel.rollout;

import java.util.OptionalLong;

/**
 * When one gateway reports on one order. Regular reports follow each other at the report period, whatever happens.
 * Early reports for a special reason are sent between them, at least {@link #MIN_DISTANCE_MS} apart.
 *
 * <p>Invariant: within any time, a gateway sends at most {@link #MAX_EARLY} early reports more than its part of the
 * rate that the regular reports of all gateways leave. Not thread safe.
 */
public final class ReportSchedule {
    private static final long MIN_DISTANCE_MS = 100;
    private static final int MAX_EARLY = 10;

    private double permits = MAX_EARLY;
    private long permitsAtMs;
    private long lastMs;
    private long nextMs;

    /**
     * Creates a schedule.
     *
     * @param spread when the first report is due within a period that is extended, from 0 to less than 1
     * @param period the period
     * @param nowMs the current time in milliseconds
     */
    public ReportSchedule(double spread, ReportPeriod period, long nowMs) {
        this.permitsAtMs = nowMs;
        this.lastMs = nowMs - MIN_DISTANCE_MS;
        this.nextMs = period.isExtended() ? nowMs + (long) (spread * period.periodMs()) : nowMs;
    }

    /**
     * Tells whether a regular report is due.
     *
     * @param nowMs the current time in milliseconds
     * @return whether it is
     */
    public boolean isDue(long nowMs) {
        return nowMs >= nextMs;
    }

    /**
     * Returns when an early report may be sent.
     *
     * @param period the period
     * @param nowMs the current time in milliseconds
     * @return the time to wait in milliseconds, empty if the next regular report comes before
     */
    public OptionalLong earlyWaitMs(ReportPeriod period, long nowMs) {
        double missing = Math.max(0, 1 - permitsAt(period, nowMs));
        long distanceMs = Math.max(0, lastMs + MIN_DISTANCE_MS - nowMs);
        double waitMs = missing == 0 ? distanceMs : Math.max(distanceMs, missing / period.earlyReportsPerMs());
        return nowMs + waitMs < nextMs ? OptionalLong.of((long) Math.ceil(waitMs)) : OptionalLong.empty();
    }

    private double permitsAt(ReportPeriod period, long nowMs) {
        return Math.min(MAX_EARLY, permits + (nowMs - permitsAtMs) * period.earlyReportsPerMs());
    }

    /**
     * Records that a regular report is sent.
     *
     * @param period the period
     * @param nowMs the current time in milliseconds
     */
    public void recordRegular(ReportPeriod period, long nowMs) {
        lastMs = nowMs;
        // Counted from when the report was due, since timers are coarse and would lengthen the period.
        long dueMs = nowMs - nextMs < period.periodMs() ? nextMs : nowMs;
        nextMs = dueMs + period.periodMs();
    }

    /**
     * Records that an early report is sent.
     *
     * @param period the period
     * @param nowMs the current time in milliseconds
     */
    public void recordEarly(ReportPeriod period, long nowMs) {
        permits = Math.max(0, permitsAt(period, nowMs) - 1);
        permitsAtMs = nowMs;
        lastMs = nowMs;
    }
}
