package org.pimentovale.kernel.directory;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The load of one endpoint: the calls of this instance, and the latest report with its time.
 *
 * <p>A report has less weight the older it is and the more calls were sent to the endpoint since. The calls that other
 * instances sent are estimated from the change between the last two reports. Where the report has lost its weight, the
 * endpoint's usual load counts, and then the mean of its service. Invariant: the numbers of running calls and of their
 * tokens are never negative. Not thread safe; guarded by the event loop of its directory.
 */
public final class EndpointLoad {
    // The number of calls at an endpoint changes several times a second, so a count says little after a second.
    private static final long COUNT_VALID_MS = 1_000;
    private static final double CALLS_DECAY_MS = 1_000;
    // Slowdowns of shared machines change many times a second, faster than the number of calls.
    private static final double SLOWDOWN_DECAY_MS = 500;
    // The usual load follows changes of demand within seconds, and a single report does not determine it.
    private static final double USUAL_LOAD_DECAY_MS = 10_000;
    private static final double USUAL_LOAD_LATEST_WEIGHT = 0.4;
    // Over longer intervals calls begin and end, so that the difference of two counts is no rate.
    private static final long MAX_RATE_INTERVAL_MS = 2_000;

    private int runningCalls;
    private long runningTokens;
    private int otherInstancesCalls;
    private int sentSinceReport;
    private double otherSendsPerMs;
    private double usualOtherCalls;
    private Optional<LoadReport> report = Optional.empty();
    private long reportedAtMs = Long.MIN_VALUE;

    void startCall(long tokens) {
        runningCalls++;
        runningTokens += tokens;
        sentSinceReport++;
    }

    void endCall(long tokens) {
        runningTokens = Math.max(0, runningTokens - tokens);
        runningCalls = Math.max(0, runningCalls - 1);
    }

    int runningCalls() {
        return runningCalls;
    }

    long runningTokens() {
        return runningTokens;
    }

    /** Forgets what an earlier start of the endpoint reported, but not the number of calls, which is valid briefly. */
    void restart() {
        report = Optional.empty();
        otherSendsPerMs = 0;
        usualOtherCalls = 0;
    }

    void record(LoadReport next, long nowMs) {
        int others = Math.max(0, next.calls() - runningCalls);
        if (report.isPresent()) {
            long intervalMs = Math.max(1, nowMs - reportedAtMs);
            otherSendsPerMs = intervalMs > MAX_RATE_INTERVAL_MS
                    ? 0
                    : Math.abs(others - otherInstancesCalls) / (double) intervalMs;
            double keep = (1 - USUAL_LOAD_LATEST_WEIGHT) * Math.exp(-intervalMs / USUAL_LOAD_DECAY_MS);
            usualOtherCalls = keep * usualOtherCalls + (1 - keep) * others;
        } else {
            usualOtherCalls = others;
        }
        report = Optional.of(next);
        otherInstancesCalls = others;
        reportedAtMs = nowMs;
        sentSinceReport = 0;
    }

    int expectedCalls(long nowMs) {
        boolean valid = reportedAtMs != Long.MIN_VALUE && nowMs - reportedAtMs < COUNT_VALID_MS;
        return runningCalls + (valid ? otherInstancesCalls : 0);
    }

    /**
     * Returns the latest report.
     *
     * @return the report, whatever its age; empty if there is none since the endpoint's start
     */
    public Optional<LoadReport> report() {
        return report;
    }

    /**
     * Returns the age of the latest report.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, empty if there is no report
     */
    public OptionalDouble reportAgeMs(long nowMs) {
        return report.isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(Math.max(0, nowMs - reportedAtMs));
    }

    /**
     * Returns the weight of the reported number of calls.
     *
     * @param slots the number of calls that the endpoint runs concurrently
     * @param nowMs the current time in milliseconds
     * @return 1 for a report of this moment, falling to 0 with age and with the calls sent since
     */
    public double weight(int slots, long nowMs) {
        if (report.isEmpty()) {
            return 0;
        }
        double ageMs = Math.max(0, nowMs - reportedAtMs);
        double sentSince = sentSinceReport + otherSendsPerMs * ageMs;
        return Math.exp(-ageMs / CALLS_DECAY_MS) * slots / (slots + sentSince);
    }

    /**
     * Estimates the number of running or waiting calls at the endpoint.
     *
     * @param slots the number of calls that the endpoint runs concurrently
     * @param meanCalls the mean number of calls at the service's endpoints, scaled to the slots of this one
     * @param nowMs the current time in milliseconds
     * @return the calls of this instance, plus the estimate for all others
     */
    public double estimateCalls(int slots, double meanCalls, long nowMs) {
        double weight = weight(slots, nowMs);
        double usualWeight = report.isEmpty() ? 0 : Math.exp(-Math.max(0, nowMs - reportedAtMs) / USUAL_LOAD_DECAY_MS);
        double usual = usualWeight * usualOtherCalls + (1 - usualWeight) * meanCalls;
        return runningCalls + weight * otherInstancesCalls + (1 - weight) * usual;
    }

    /**
     * Estimates how long work takes on the endpoint's machine, relative to the usual time.
     *
     * @param mean the mean over the service's endpoints
     * @param nowMs the current time in milliseconds
     * @return the reported slowdown for a report of this moment, approaching the mean with its age
     */
    public double estimateSlowdown(double mean, long nowMs) {
        OptionalDouble reported = report.map(LoadReport::slowdown).orElse(OptionalDouble.empty());
        if (reported.isEmpty()) {
            return mean;
        }
        double weight = Math.exp(-Math.max(0, nowMs - reportedAtMs) / SLOWDOWN_DECAY_MS);
        return weight * reported.getAsDouble() + (1 - weight) * mean;
    }
}
