package org.pimentovale.kernel.stream;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.kernel.directory.EndpointState;

/**
 * The software builds of each service that were listed lately.
 *
 * <p>The history contains every build to which this process may have sent a stream. What other gateways listed is in it
 * only as far as this gateway was in contact with the store, or as a {@link HistoryCheckpoint} tells. Not thread safe;
 * used on one event loop.
 */
public final class BuildHistory {
    /** The maximum time over which builds are remembered, in milliseconds. */
    public static final long RETENTION_MS = 600_000;

    private final Map<String, Map<String, Long>> lastSeenMs = new HashMap<>();
    private long observedSinceMs = Long.MAX_VALUE;
    private long earlierMs;

    /**
     * Records the listed endpoints. To be called periodically and after each change.
     *
     * @param endpoints all listed endpoints, usable or not
     * @param nowMs the current time in milliseconds
     */
    public void observe(Collection<EndpointState> endpoints, long nowMs) {
        observedSinceMs = Math.min(observedSinceMs, nowMs);
        for (EndpointState endpoint : endpoints) {
            lastSeenMs
                    .computeIfAbsent(endpoint.latest().service(), unused -> new HashMap<>())
                    .put(endpoint.latest().build(), nowMs);
        }
        lastSeenMs.values().forEach(builds -> builds.values().removeIf(seenMs -> seenMs + RETENTION_MS < nowMs));
        lastSeenMs.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the builds of a service that were listed lately.
     *
     * @param service the service's name
     * @param sinceMs the time in milliseconds since which a build was listed, at most {@link #RETENTION_MS} ago
     * @return the builds, in no particular order
     */
    public List<String> recentBuilds(String service, long sinceMs) {
        return lastSeenMs.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(build -> build.getValue() >= sinceMs)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the builds of all services that were listed lately.
     *
     * @param sinceMs the time in milliseconds since which a build was listed, at most {@link #RETENTION_MS} ago
     * @return the builds by service, without services that have none
     */
    public Map<String, List<String>> recentBuilds(long sinceMs) {
        Map<String, List<String>> recent = new HashMap<>();
        for (String service : lastSeenMs.keySet()) {
            List<String> builds = recentBuilds(service, sinceMs);
            if (!builds.isEmpty()) {
                recent.put(service, builds);
            }
        }
        return recent;
    }

    /**
     * Adds what is known of the time before the first observation.
     *
     * @param checkpoint the knowledge, with all changes since known to be explained by it
     * @param nowMs the current time in milliseconds
     */
    public void addEarlier(HistoryCheckpoint checkpoint, long nowMs) {
        earlierMs = checkpoint.coveredMs();
        checkpoint
                .builds()
                .forEach((service, builds) -> builds.forEach(build -> lastSeenMs
                        .computeIfAbsent(service, unused -> new HashMap<>())
                        .put(build, nowMs)));
    }

    /**
     * Returns over which time the history contains every build that was listed, if this gateway was in contact with the
     * store since its first observation.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero before the first observation
     */
    public long knownMs(long nowMs) {
        long observedMs = observedMs(nowMs);
        return observedMs == 0 ? 0 : observedMs + earlierMs;
    }

    /**
     * Returns how long the listed endpoints have been remembered, in contact with the store or not.
     *
     * @param nowMs the current time in milliseconds
     * @return milliseconds, zero before the first observation
     */
    public long observedMs(long nowMs) {
        return Math.max(0, nowMs - Math.min(observedSinceMs, nowMs));
    }
}
