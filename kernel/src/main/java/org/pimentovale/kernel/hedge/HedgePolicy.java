package org.pimentovale.kernel.hedge;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.kernel.retry.WindowedRetryBudget;

/**
 * Decides whether a second copy (the hedge) of a slow request is sent to another endpoint, and after which delay.
 *
 * <p>The delay is the learnt usual longest duration of the route and size of work. Invariant: the hedges of a service
 * within the window do not exceed the operator's share of the requests that this instance sent to it within the window,
 * so the sum over all instances keeps the limit without coordination messages. Not thread safe.
 */
public final class HedgePolicy {
    private static final double PERCENT = 100;

    private final HedgeSettings settings;
    private final long windowMs;
    private final ResponseDurations durations = new ResponseDurations();
    private final Map<String, WindowedRetryBudget> quotas = new HashMap<>();
    private final Map<String, SlowResponses> slowResponses = new HashMap<>();

    /**
     * Creates a policy that has seen no responses.
     *
     * @param settings the operator's limit
     * @param windowMs the length of the window over which the limit applies, in milliseconds
     */
    public HedgePolicy(HedgeSettings settings, long windowMs) {
        this.settings = settings;
        this.windowMs = windowMs;
    }

    /**
     * Tells whether any request may be hedged. If not, nothing else needs to be recorded or asked.
     *
     * @return whether the operator's limit is above zero
     */
    public boolean enabled() {
        return settings.limitPercent() > 0;
    }

    /**
     * Records that a request was sent for the first time, which adds to the quota of its service.
     *
     * @param service the service's name
     * @param nowMs the current time in milliseconds
     */
    public void recordRequest(String service, long nowMs) {
        quota(service).recordFirstAttempt(nowMs);
    }

    /**
     * Returns the delay after which a request counts as slow.
     *
     * @param route the route's name
     * @param workSize the size of the request, in any unit that is the same for all requests of the route
     * @param nowMs the current time in milliseconds
     * @return milliseconds after the request was sent, empty for {@link HedgeDenial#FEW_RESPONSES}
     */
    public OptionalLong delayMs(String route, long workSize, long nowMs) {
        return durations.usualMs(route, workSize, nowMs);
    }

    /**
     * Records the duration of a first copy. For one that was cancelled because the hedge was faster, this is the time
     * until then: it lies above the usual duration, as the whole duration would, so the learnt value does not fall.
     *
     * @param route the route's name
     * @param workSize the size of the request
     * @param durationMs the time since the copy was sent, in milliseconds
     * @param nowMs the current time in milliseconds
     */
    public void recordDuration(String route, long workSize, long durationMs, long nowMs) {
        durations.record(route, workSize, durationMs, nowMs);
    }

    /**
     * Records whether a response is slow, once for each request that has a delay and as soon as it is known.
     *
     * @param service the service's name
     * @param slow whether the delay has passed without a response
     */
    public void recordPace(String service, boolean slow) {
        slowResponses.computeIfAbsent(service, unused -> new SlowResponses()).record(slow);
    }

    /**
     * Decides whether a request that is slow gets a second copy, and takes it from the quota if so.
     *
     * @param service the service's name
     * @param situation what is known now
     * @param nowMs the current time in milliseconds
     * @return the first reason against it, empty if the copy is to be sent
     */
    public Optional<HedgeDenial> deny(String service, HedgeSituation situation, long nowMs) {
        Optional<HedgeDenial> denial = reasonBesideQuota(service, situation);
        if (denial.isPresent() || quota(service).tryTakeRetry(1, nowMs)) {
            return denial;
        }
        return Optional.of(HedgeDenial.QUOTA);
    }

    /** Returns the first reason against a second copy other than the quota, from which nothing is taken. */
    Optional<HedgeDenial> reasonBesideQuota(String service, HedgeSituation situation) {
        return Arrays.stream(HedgeDenial.values())
                .filter(reason ->
                        reason.appliesTo(situation) || (reason == HedgeDenial.SERVICE_SLOW && isSlow(service)))
                .findFirst();
    }

    private boolean isSlow(String service) {
        return slowResponses.containsKey(service) && slowResponses.get(service).widespread();
    }

    private WindowedRetryBudget quota(String service) {
        return quotas.computeIfAbsent(
                service, unused -> new WindowedRetryBudget(settings.limitPercent() / PERCENT, 0, windowMs, 0));
    }
}
