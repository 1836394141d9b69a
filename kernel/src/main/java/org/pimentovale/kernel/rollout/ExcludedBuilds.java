package org.pimentovale.kernel.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The builds that get no requests since an order was withdrawn, superseded, rolled back or completed.
 *
 * <p>A build stays excluded until none of its endpoints has been listed for {@link #FORGET_MS}, which outlasts entries
 * that lapse and return, or until an order names it. Not thread safe.
 */
final class ExcludedBuilds {
    private static final long FORGET_MS = 10_000;

    /** The builds of each service with the time when they were last listed. */
    private final Map<String, Map<String, Long>> listedAtMs = new HashMap<>();

    void add(String service, String build, long nowMs) {
        listedAtMs.computeIfAbsent(service, unused -> new HashMap<>()).put(build, nowMs);
    }

    void remove(String service, String build) {
        Map<String, Long> builds = listedAtMs.get(service);
        if (builds != null) {
            builds.remove(build);
            removeIfEmpty(service, builds);
        }
    }

    boolean containsAny(String service) {
        return listedAtMs.containsKey(service);
    }

    boolean contains(String service, String build) {
        Map<String, Long> builds = listedAtMs.get(service);
        return builds != null && builds.containsKey(build);
    }

    /** Forgets the builds of a service that have not been listed for some time. */
    void observe(String service, Set<String> listed, long nowMs) {
        Map<String, Long> builds = listedAtMs.get(service);
        if (builds != null) {
            builds.replaceAll((build, atMs) -> listed.contains(build) ? Long.valueOf(nowMs) : atMs);
            builds.values().removeIf(atMs -> nowMs - atMs > FORGET_MS);
            removeIfEmpty(service, builds);
        }
    }

    private void removeIfEmpty(String service, Map<String, Long> builds) {
        if (builds.isEmpty()) {
            listedAtMs.remove(service);
        }
    }

    Set<String> services() {
        return Set.copyOf(listedAtMs.keySet());
    }
}
