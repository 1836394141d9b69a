package org.pimentovale.kernel.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Grants the requests that all instances together may send to endpoints which name a rate limit. The instance that owns
 * an endpoint's service decides for all instances.
 *
 * <p>It implements the generic cell rate algorithm (ITU-T I.371). Invariant: within any time t, at most limit × (t +
 * burst) + 1 permits are granted for an endpoint. A new owner starts without the grants of its predecessor, so up to
 * twice the burst may be granted around a change of owners. The oldest endpoints are evicted when the capacity is
 * exceeded. Not thread safe; used on one event loop.
 */
public final class EndpointRateLimiter {
    private static final double BURST_MS = 250;
    private static final double MS_PER_SECOND = 1_000;
    private static final long WAIT_WITHOUT_PERMITS_MS = 1_000;
    private static final int CAPACITY = 4_096;

    private final Map<String, Pace> paces = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Pace> eldest) {
            return size() > CAPACITY;
        }
    };

    /** The grants of one endpoint. */
    private static final class Pace {
        private double nextPermitMs = Double.NEGATIVE_INFINITY;
        private long liftedAtMs = Long.MIN_VALUE;
    }

    /**
     * Asks for a permit to send one request.
     *
     * @param incarnation identifies the endpoint and its start
     * @param limit the limit that the endpoint named
     * @param nowMs the current time in milliseconds
     * @return the permit, or the time until one may be granted
     */
    public Permit acquire(String incarnation, NamedLimit limit, long nowMs) {
        Pace pace = paces.computeIfAbsent(incarnation, unused -> new Pace());
        if (limit.namedAtMs() < pace.liftedAtMs) {
            return Permit.unlimited();
        }
        long waitMs = waitMs(pace, limit, nowMs);
        if (waitMs > 0) {
            return Permit.denied(waitMs);
        }
        charge(pace, limit, nowMs);
        return Permit.granted();
    }

    /**
     * Returns the time until a permit may be granted.
     *
     * @param incarnation identifies the endpoint and its start
     * @param limit the limit that the endpoint named
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero if a permit would be granted now
     */
    public long waitMs(String incarnation, NamedLimit limit, long nowMs) {
        return waitMs(paces.getOrDefault(incarnation, new Pace()), limit, nowMs);
    }

    /**
     * Records a request that is sent to an endpoint without asking.
     *
     * @param incarnation identifies the endpoint and its start
     * @param limit the limit that the endpoint named
     * @param nowMs the current time in milliseconds
     */
    public void recordSent(String incarnation, NamedLimit limit, long nowMs) {
        charge(paces.computeIfAbsent(incarnation, unused -> new Pace()), limit, nowMs);
    }

    /**
     * Records that an endpoint has responded without naming a limit. Permits are granted without limit to instances
     * whose knowledge of the limit is older.
     *
     * @param incarnation identifies the endpoint and its start
     * @param nowMs the current time in milliseconds
     */
    public void recordLifted(String incarnation, long nowMs) {
        paces.computeIfAbsent(incarnation, unused -> new Pace()).liftedAtMs = nowMs;
    }

    private static long waitMs(Pace pace, NamedLimit limit, long nowMs) {
        if (limit.requestsPerSecond() <= 0) {
            return WAIT_WITHOUT_PERMITS_MS;
        }
        return (long) Math.ceil(Math.max(0, pace.nextPermitMs - BURST_MS - nowMs));
    }

    private static void charge(Pace pace, NamedLimit limit, long nowMs) {
        if (limit.requestsPerSecond() > 0) {
            pace.nextPermitMs = Math.max(pace.nextPermitMs, nowMs) + MS_PER_SECOND / limit.requestsPerSecond();
        }
    }
}
