package org.pimentovale.kernel.schedule;

import java.util.IdentityHashMap;
import java.util.Map;
import org.pimentovale.kernel.retry.RetryReason;
import org.pimentovale.table.Endpoint;

/**
 * Load, service time and failures of one endpoint, as tracked by the scheduler of a pool.
 *
 * <p>The concurrency limit is adapted by a factor that falls multiplicatively with each refusal and rises additively
 * with each completed attempt. Failures attributed to the endpoint suspend it, with exponential backoff while no
 * attempt succeeds. A progress timeout is attributed to the endpoint only from the third one without a completed
 * attempt in between, since a single one may be caused by the connection. Invariants: {@code inFlight} is the number of
 * grants not yet released; {@code sentAtMs} contains those of them that were sent. Not thread safe; guarded by the
 * scheduler's lock.
 */
final class EndpointLoadState {
    private static final double SERVICE_TIME_SMOOTHING = 0.15;
    private static final double REFUSAL_DECREASE_FACTOR = 0.7;
    private static final double SUCCESS_INCREASE_STEP = 0.02;
    private static final double MIN_LIMIT_FACTOR = 0.1;
    private static final int PROGRESS_TIMEOUTS_BEFORE_SUSPENSION = 3;
    private static final long INITIAL_SUSPENSION_MS = 200;
    private static final long MAX_SUSPENSION_MS = 5_000;
    private static final int MAX_BACKOFF_SHIFT = 5;
    private static final long MAX_REPORT_AGE_MS = 3_000;
    private static final double MEASUREMENT_DECAY_MS = 5_000;

    private final Endpoint endpoint;
    private double unloadedServiceMs;
    private long measuredAtMs;
    private double limitFactor = 1;
    private int inFlight;
    private final Map<Grant, Long> sentAtMs = new IdentityHashMap<>();
    private int suspectsInFlight;
    private int consecutiveFailures;
    private int consecutiveProgressTimeouts;
    private long suspendedUntilMs = Long.MIN_VALUE;
    private boolean reported;
    private int reportedInFlight;
    private int ownInFlightAtReport;
    private long reportedAtMs;

    EndpointLoadState(Endpoint endpoint, int expectedMs) {
        this.endpoint = endpoint;
        this.unloadedServiceMs = expectedMs;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the measured service time without load; it decays towards the pool's as the measurement ages. */
    double unloadedServiceMs(double poolUnloadedServiceMs, long nowMs) {
        double weight = Math.exp(-(nowMs - measuredAtMs) / MEASUREMENT_DECAY_MS);
        return poolUnloadedServiceMs + weight * (unloadedServiceMs - poolUnloadedServiceMs);
    }

    boolean suspended(long nowMs) {
        return nowMs < suspendedUntilMs;
    }

    long suspendedUntilMs() {
        return suspendedUntilMs;
    }

    boolean runsSuspect() {
        return suspectsInFlight > 0;
    }

    /** Returns the estimated number of in-flight requests from all instances. */
    int totalInFlight(long nowMs) {
        if (!reported || nowMs - reportedAtMs > MAX_REPORT_AGE_MS) {
            return inFlight;
        }
        return Math.max(inFlight, reportedInFlight + inFlight - ownInFlightAtReport);
    }

    /**
     * Tells whether a warm endpoint has capacity for one more request of this instance.
     *
     * <p>An instance may always use its equal share of the limit. Beyond that it may use an equal share of the spare
     * capacity shown by a recent report, since every other instance may act on the same report; together the instances
     * exceed the limit by less than one request per instance.
     */
    boolean hasCapacity(int limit, int instanceCount, long nowMs) {
        double effectiveLimit = limit * limitFactor;
        int guaranteedShare = (int) Math.max(1, Math.ceil(effectiveLimit / instanceCount));
        if (inFlight < guaranteedShare) {
            return true;
        }
        boolean fresh = reported && nowMs - reportedAtMs <= MAX_REPORT_AGE_MS;
        double shareOfSpareCapacity = Math.ceil(Math.max(0, effectiveLimit - reportedInFlight) / instanceCount);
        return fresh && inFlight + 1 <= ownInFlightAtReport + shareOfSpareCapacity;
    }

    void recordLoad(int totalInFlight, long nowMs) {
        reported = true;
        reportedInFlight = totalInFlight;
        ownInFlightAtReport = inFlight;
        reportedAtMs = nowMs;
    }

    void recordGrant(boolean suspect) {
        inFlight++;
        suspectsInFlight += suspect ? 1 : 0;
    }

    void recordSent(Grant grant, long nowMs) {
        sentAtMs.put(grant, nowMs);
    }

    /** Returns how many of the requests in flight were sent before the given time. */
    int sentBefore(long timeMs) {
        return (int)
                sentAtMs.values().stream().filter(sentMs -> sentMs < timeMs).count();
    }

    void recordRelease(Grant grant, CallResult result, long nowMs) {
        inFlight--;
        sentAtMs.remove(grant);
        suspectsInFlight -= grant.attempt().suspect() ? 1 : 0;
        if (result.completed()) {
            consecutiveFailures = 0;
            consecutiveProgressTimeouts = 0;
            limitFactor = Math.min(1, limitFactor + SUCCESS_INCREASE_STEP);
            double sample = result.serviceMs() / (1 + grant.load());
            if (!grant.cold()) {
                unloadedServiceMs += SERVICE_TIME_SMOOTHING * (sample - unloadedServiceMs);
                measuredAtMs = nowMs;
            }
        }
        result.failure().ifPresent(reason -> recordFailure(reason, nowMs));
    }

    private void recordFailure(RetryReason reason, long nowMs) {
        if (reason == RetryReason.REFUSED) {
            limitFactor = Math.max(MIN_LIMIT_FACTOR, limitFactor * REFUSAL_DECREASE_FACTOR);
        }
        if (reason == RetryReason.SILENCE) {
            consecutiveProgressTimeouts++;
        }
        if (reason.isEndpointFailure() || consecutiveProgressTimeouts >= PROGRESS_TIMEOUTS_BEFORE_SUSPENSION) {
            consecutiveFailures++;
            int shift = Math.min(MAX_BACKOFF_SHIFT, consecutiveFailures - 1);
            suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS << shift);
        }
    }
}
