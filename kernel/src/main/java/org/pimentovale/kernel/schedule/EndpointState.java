package org.pimentovale.kernel.schedule;

import org.pimentovale.kernel.retry.RetryReason;
import org.pimentovale.table.Endpoint;

/**
 * What the scheduler of a pool knows of one endpoint.
 *
 * <p>Invariant: {@code inFlight} counts the grants that were not released. Not thread safe; guarded by the scheduler's
 * lock.
 */
final class EndpointState {
    private static final double SERVICE_TIME_WEIGHT = 0.15;
    private static final double REFUSAL_FACTOR = 0.7;
    private static final double RECOVERY_STEP = 0.02;
    private static final double LOWEST_FACTOR = 0.1;
    private static final int SILENCES_BEFORE_BLAME = 3;
    private static final long FIRST_SUSPENSION_MS = 200;
    private static final long LONGEST_SUSPENSION_MS = 5_000;
    private static final int LARGEST_SHIFT = 5;
    private static final long REPORT_LIFETIME_MS = 3_000;
    private static final double MEASUREMENT_LIFETIME_MS = 5_000;

    private final Endpoint endpoint;
    private double baseMs;
    private long measuredAtMs;
    private double limitFactor = 1;
    private int inFlight;
    private int suspects;
    private int consecutiveFailures;
    private int consecutiveSilences;
    private long suspendedUntilMs = Long.MIN_VALUE;
    private boolean reported;
    private int reportedInFlight;
    private int ownAtReport;
    private long reportedAtMs;

    EndpointState(Endpoint endpoint, int expectedMs) {
        this.endpoint = endpoint;
        this.baseMs = expectedMs;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the measured service time without load; an old measurement gives way to that of the pool. */
    double baseMs(double poolBaseMs, long nowMs) {
        double weight = Math.exp(-(nowMs - measuredAtMs) / MEASUREMENT_LIFETIME_MS);
        return poolBaseMs + weight * (baseMs - poolBaseMs);
    }

    boolean suspended(long nowMs) {
        return nowMs < suspendedUntilMs;
    }

    long suspendedUntilMs() {
        return suspendedUntilMs;
    }

    boolean runsSuspect() {
        return suspects > 0;
    }

    /** Returns the believed number of requests over all instances. */
    int totalInFlight(long nowMs) {
        if (!reported || nowMs - reportedAtMs > REPORT_LIFETIME_MS) {
            return inFlight;
        }
        return Math.max(inFlight, reportedInFlight + inFlight - ownAtReport);
    }

    /**
     * Tells whether a warm endpoint may take one more request of this instance.
     *
     * <p>An instance may always use its share of the limit. Beyond that it may use its part of the room that a fresh
     * report shows, since every other instance may read the same report; together they exceed the limit by less than
     * one request an instance.
     */
    boolean hasRoom(int limit, int instances, long nowMs) {
        double borne = limit * limitFactor;
        int share = (int) Math.max(1, Math.ceil(borne / instances));
        if (inFlight < share) {
            return true;
        }
        boolean fresh = reported && nowMs - reportedAtMs <= REPORT_LIFETIME_MS;
        double ownPartOfRoom = Math.ceil(Math.max(0, borne - reportedInFlight) / instances);
        return fresh && inFlight + 1 <= ownAtReport + ownPartOfRoom;
    }

    void report(int totalInFlight, long nowMs) {
        reported = true;
        reportedInFlight = totalInFlight;
        ownAtReport = inFlight;
        reportedAtMs = nowMs;
    }

    void granted(boolean suspect) {
        inFlight++;
        suspects += suspect ? 1 : 0;
    }

    void released(Grant grant, CallResult result, long nowMs) {
        inFlight--;
        suspects -= grant.work().suspect() ? 1 : 0;
        if (result.answered()) {
            consecutiveFailures = 0;
            consecutiveSilences = 0;
            limitFactor = Math.min(1, limitFactor + RECOVERY_STEP);
            double sample = result.serviceMs() / (1 + grant.load());
            if (!grant.cold()) {
                baseMs += SERVICE_TIME_WEIGHT * (sample - baseMs);
                measuredAtMs = nowMs;
            }
        }
        result.failure().ifPresent(reason -> recordFailure(reason, nowMs));
    }

    private void recordFailure(RetryReason reason, long nowMs) {
        if (reason == RetryReason.REFUSED) {
            limitFactor = Math.max(LOWEST_FACTOR, limitFactor * REFUSAL_FACTOR);
        }
        if (reason == RetryReason.SILENCE) {
            consecutiveSilences++;
        }
        if (reason.isEndpointFailure() || consecutiveSilences >= SILENCES_BEFORE_BLAME) {
            consecutiveFailures++;
            int shift = Math.min(LARGEST_SHIFT, consecutiveFailures - 1);
            suspendedUntilMs = nowMs + Math.min(LONGEST_SUSPENSION_MS, FIRST_SUSPENSION_MS << shift);
        }
    }
}
