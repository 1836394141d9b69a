package org.pimentovale.kernel.hedge;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.kernel.time.ClockReading;

/**
 * Decides on second copies as {@link HedgePolicy} does, with durations and a quota that gateways share where they do.
 *
 * <p>Without usual durations from the owner, this gateway's own samples are used. Not thread safe.
 */
public final class SharedHedging {
    private final HedgePolicy policy;
    private final long windowMs;
    private final Map<String, HedgeShare> shares = new HashMap<>();

    /**
     * Creates the decisions of a gateway that has not seen a request.
     *
     * @param settings the operator's limit
     * @param windowMs the length of the window over which the limit applies, in milliseconds
     */
    public SharedHedging(HedgeSettings settings, long windowMs) {
        this.policy = new HedgePolicy(settings, windowMs);
        this.windowMs = windowMs;
    }

    /**
     * Tells whether any request may be hedged. If not, nothing else needs to be recorded or asked.
     *
     * @return whether the operator's limit is above zero
     */
    public boolean enabled() {
        return policy.enabled();
    }

    /**
     * Returns this gateway's part in the hedges of a service.
     *
     * @param service the service's name
     * @return the part, which uses the gateway's own quota until told otherwise
     */
    public HedgeShare share(String service) {
        return shares.computeIfAbsent(service, unused -> new HedgeShare(windowMs));
    }

    /**
     * Records that a request was sent for the first time.
     *
     * @param service the service's name
     * @param now the current time
     */
    public void recordRequest(String service, ClockReading now) {
        if (share(service).recordRequest(now)) {
            policy.recordRequest(service, now.monotonicMs());
        }
    }

    /**
     * Returns the delay after which a request counts as slow.
     *
     * @param service the service's name
     * @param route the route's name
     * @param workSize the size of the request, in any unit that is the same for all requests of the route
     * @param now the current time
     * @return milliseconds after the request was sent, empty for {@link HedgeDenial#FEW_RESPONSES}
     */
    public OptionalLong delayMs(String service, String route, long workSize, ClockReading now) {
        OptionalLong shared = share(service).usualMs(DurationGroup.of(route, workSize), now);
        return shared.isPresent() ? shared : policy.delayMs(route, workSize, now.monotonicMs());
    }

    /**
     * Records the duration of a first copy, see {@link HedgePolicy#recordDuration}.
     *
     * @param service the service's name
     * @param route the route's name
     * @param workSize the size of the request
     * @param durationMs the time since the copy was sent, in milliseconds
     * @param now the current time
     */
    public void recordDuration(String service, String route, long workSize, long durationMs, ClockReading now) {
        policy.recordDuration(route, workSize, durationMs, now.monotonicMs());
        share(service).recordDuration(DurationGroup.of(route, workSize), durationMs);
    }

    /**
     * Records whether a response is slow, once for each request that has a delay and as soon as it is known.
     *
     * @param service the service's name
     * @param slow whether the delay has passed without a response
     */
    public void recordPace(String service, boolean slow) {
        policy.recordPace(service, slow);
        share(service).recordPace(slow);
    }

    /**
     * Decides whether a request that is slow gets a second copy, and takes it from the quota if so.
     *
     * @param service the service's name
     * @param situation what is known now
     * @param now the current time
     * @return the first reason against it, empty if the copy is to be sent; with a shared quota,
     *     {@link HedgeDenial#QUOTA} if only a permit is missing
     */
    public Optional<HedgeDenial> deny(String service, HedgeSituation situation, ClockReading now) {
        if (!share(service).shared()) {
            return policy.deny(service, situation, now.monotonicMs());
        }
        Optional<HedgeDenial> denial = policy.reasonBesideQuota(service, situation);
        if (denial.isPresent() || share(service).tryTakePermit(now)) {
            return denial;
        }
        return Optional.of(HedgeDenial.QUOTA);
    }
}
