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
    private final String service;
    private final Set<String> builds = new HashSet<>();
    private Optional<StreamOrigin> recorded = Optional.empty();
    private long observedMs;

    /**
     * What one gateway knows of a stream.
     *
     * @param origin the recorded origin, empty if it is not known there
     * @param recentBuilds the builds of the service that were listed there within {@link BuildHistory#WINDOW_MS}
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
     */
    public OriginLookup(String service) {
        this.service = service;
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
        boolean singleBuild = builds.size() == 1 && observedMs >= BuildHistory.WINDOW_MS;
        return singleBuild
                ? Optional.of(new StreamOrigin(service, builds.iterator().next(), 0))
                : Optional.empty();
    }
}
