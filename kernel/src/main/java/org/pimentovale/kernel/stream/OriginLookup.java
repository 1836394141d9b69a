package org.pimentovale.kernel.stream;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Determines where a stream began from the answers of several gateways.
 *
 * <p>Invariant: without a recorded origin, a build is assumed only if all answers name the same single one, and one of
 * them has observed the service for longer than a stream lasts. Not thread safe.
 */
public final class OriginLookup {
    private static final long MIN_WINDOW_MS = 10_000;
    private static final int ROUTE_TIMEOUTS_PER_STREAM = 2;

    private final String service;
    private final long windowMs;
    private final Set<String> builds = new HashSet<>();
    private Optional<StreamOrigin> recorded = Optional.empty();
    private long observedMs;

    /**
     * What one gateway knows of a stream.
     *
     * @param origin the recorded origin, empty if it is not known there
     * @param recentBuilds the builds of the service that were listed there within the time that a stream lasts
     * @param observedMs how long that gateway has observed the endpoints, in milliseconds
     */
    public record Answer(Optional<StreamOrigin> origin, List<String> recentBuilds, long observedMs) {
        /** Copies the list. */
        public Answer {
            recentBuilds = List.copyOf(recentBuilds);
        }
    }

    /**
     * Creates a lookup without answers.
     *
     * @param service the service that runs the stream if no origin is recorded
     * @param windowMs the longest time that a stream lasts, see {@link #windowMs(int)}
     */
    public OriginLookup(String service, long windowMs) {
        this.service = service;
        this.windowMs = windowMs;
    }

    /**
     * Returns the longest time between the beginning of a stream and the attempt that takes it up.
     *
     * @param routeTimeoutMs the timeout of the stream's route, in milliseconds
     * @return milliseconds, more than the timeout since a caller may wait longer than the operator wants
     */
    public static long windowMs(int routeTimeoutMs) {
        long windowMs = Math.max(MIN_WINDOW_MS, (long) ROUTE_TIMEOUTS_PER_STREAM * routeTimeoutMs);
        return Math.min(BuildHistory.RETENTION_MS, windowMs);
    }

    /**
     * Adds the answer of a gateway.
     *
     * @param answer the answer
     */
    public void add(Answer answer) {
        recorded = answer.origin()
                .map(origin -> recorded.map(origin::laterOf).orElse(origin))
                .or(() -> recorded);
        builds.addAll(answer.recentBuilds());
        observedMs = Math.max(observedMs, answer.observedMs());
    }

    /**
     * Returns the origin that follows from the answers.
     *
     * @return the origin, empty if it is unknown
     */
    public Optional<StreamOrigin> result() {
        if (recorded.isPresent()) {
            return recorded;
        }
        boolean singleBuild = builds.size() == 1 && observedMs >= windowMs;
        return singleBuild
                ? Optional.of(new StreamOrigin(service, builds.iterator().next(), 0))
                : Optional.empty();
    }
}
