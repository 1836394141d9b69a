package org.pimentovale.kernel.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns the speed of a service's endpoints from the durations of their work.
 *
 * <p>The time for a unit of work (such as an event of a stream) is learnt for each kind of work, so that large requests
 * do not make an endpoint look slow. The endpoint's factor is the mean of what its work took relative to that; a few
 * responses count little. It is valid for {@link #VALID_MS} after the last response, and 1 within a tolerance, since
 * differences that small are noise. Time in queues and slowdowns of the machine are left out by the caller. Not thread
 * safe; used on one event loop.
 */
public final class ServiceSpeeds {
    /** How long the learnt speed of an endpoint is valid after its last response, in milliseconds. */
    public static final long VALID_MS = 120_000;

    private static final double KIND_LATEST_WEIGHT = 0.05;
    private static final double ENDPOINT_DECAY = 0.85;
    private static final double PRIOR_RESPONSES = 1;
    private static final double MIN_RESPONSES = 2;
    private static final double TOLERANCE = 0.15;
    private static final double MAX_RATIO = 4;
    private static final int MAX_KINDS = 256;

    private final Map<String, Double> unitMs = new HashMap<>();
    private final Map<String, Learnt> byIncarnation = new HashMap<>();

    private record Learnt(double logRatioSum, double responses, long atMs) {}

    /**
     * Records a complete response.
     *
     * @param kind what determines the time for a unit of work, such as the route's name
     * @param incarnation the endpoint's incarnation
     * @param units the amount of work, positive
     * @param durationMs the time of the work without its wait, in milliseconds
     * @param slowdown the slowdown of the endpoint's machine meanwhile, 1 if unknown
     * @param nowMs the current time in milliseconds
     */
    public void record(String kind, String incarnation, double units, double durationMs, double slowdown, long nowMs) {
        byIncarnation.values().removeIf(learnt -> nowMs - learnt.atMs() >= VALID_MS);
        if (units <= 0 || durationMs <= 0 || unitMs.size() >= MAX_KINDS && !unitMs.containsKey(kind)) {
            return;
        }
        double usualMs = durationMs / slowdown / units;
        double expectedMs = unitMs.computeIfAbsent(kind, unused -> usualMs);
        double ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, usualMs / expectedMs));
        double relative = ratio / factor(incarnation, nowMs);
        unitMs.put(kind, expectedMs * Math.pow(relative, KIND_LATEST_WEIGHT));
        Learnt before = byIncarnation.getOrDefault(incarnation, new Learnt(0, 0, nowMs));
        byIncarnation.put(
                incarnation,
                new Learnt(
                        ENDPOINT_DECAY * before.logRatioSum() + Math.log(ratio),
                        ENDPOINT_DECAY * before.responses() + 1,
                        nowMs));
    }

    /**
     * Returns the time of work at an endpoint, relative to the mean of the service.
     *
     * @param incarnation the endpoint's incarnation
     * @param nowMs the current time in milliseconds
     * @return the factor, above 1 for a slow endpoint; 1 if it is not known or not valid any more
     */
    public double factor(String incarnation, long nowMs) {
        Learnt learnt = byIncarnation.get(incarnation);
        if (learnt == null || nowMs - learnt.atMs() >= VALID_MS || learnt.responses() < MIN_RESPONSES) {
            return 1;
        }
        double factor = Math.exp(learnt.logRatioSum() / (learnt.responses() + PRIOR_RESPONSES));
        return Math.abs(Math.log(factor)) < Math.log(1 + TOLERANCE) ? 1 : factor;
    }
}
