package org.pimentovale.kernel.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The builds of the services, and which of them get no requests until the orders were confirmed.
 *
 * <p>A build that appears beside another one may be the target of an order that this gateway has not received yet. It
 * is held back until the orders are confirmed, or for {@link #MAX_HOLD_MS} if the store cannot be reached. A build
 * that another gateway named as a target is held back without a time limit. Not thread safe.
 */
final class HeldBuilds {
    // New capacity must not stay unused while the store is down, and no order can be learnt then.
    private static final long MAX_HOLD_MS = 2_500;

    private record Build(String service, String name) {}

    private final Map<String, Set<String>> known = new HashMap<>();
    private final Map<Build, Long> heldSinceMs = new HashMap<>();
    private final Set<Build> untilConfirmed = new HashSet<>();
    private final BuildListener listener;

    HeldBuilds(BuildListener listener) {
        this.listener = listener;
    }

    /** Adds a build that an order names, which needs no confirmation. */
    void addKnown(String service, String build) {
        known.computeIfAbsent(service, unused -> new HashSet<>()).add(build);
    }

    /** Adds the listed builds of a service of which none was seen before; which of them is new is not known. */
    void addFirst(String service, Set<String> listed) {
        Set<String> builds = known.computeIfAbsent(service, unused -> new HashSet<>());
        if (builds.isEmpty()) {
            builds.addAll(listed);
        }
    }

    /** Tells whether a build is held back now; one that was not seen before is, unless it is the only one. */
    boolean isHeld(String service, String build, long nowMs) {
        Set<String> builds = known.computeIfAbsent(service, unused -> new HashSet<>());
        boolean first = builds.isEmpty();
        if (builds.add(build) && !first) {
            hold(service, build, nowMs);
        }
        if (heldSinceMs.isEmpty()) {
            return false;
        }
        Long sinceMs = heldSinceMs.get(new Build(service, build));
        return sinceMs != null && (untilConfirmed.contains(new Build(service, build)) || nowMs - sinceMs < MAX_HOLD_MS);
    }

    /** Holds a build back until the orders are confirmed, however long that takes: an order names it for certain. */
    void holdUntilConfirmed(String service, String build, long nowMs) {
        untilConfirmed.add(new Build(service, build));
        hold(service, build, nowMs);
    }

    void hold(String service, String build, long nowMs) {
        addKnown(service, build);
        Build held = new Build(service, build);
        Long sinceMs = heldSinceMs.get(held);
        if (sinceMs == null || nowMs - sinceMs >= MAX_HOLD_MS) {
            heldSinceMs.put(held, nowMs);
            listener.held(service, build);
        }
    }

    void release(String service, String build) {
        Build released = new Build(service, build);
        heldSinceMs.remove(released);
        untilConfirmed.remove(released);
    }

    /** Forgets the builds of a service that are not listed, so that they are held back if they appear again. */
    void retain(String service, Set<String> listed) {
        Set<String> builds = known.get(service);
        if (builds != null) {
            builds.retainAll(listed);
            untilConfirmed.removeIf(held -> held.service().equals(service) && !listed.contains(held.name()));
            heldSinceMs.keySet().removeIf(held -> held.service().equals(service) && !listed.contains(held.name()));
        }
    }

    /** Tells whether a build of the service is held back now. */
    boolean holdsAny(String service, long nowMs) {
        heldSinceMs
                .entrySet()
                .removeIf(held -> nowMs - held.getValue() >= MAX_HOLD_MS && !untilConfirmed.contains(held.getKey()));
        return heldSinceMs.keySet().stream().anyMatch(held -> held.service().equals(service));
    }

    /** Tells whether all of these builds of the service were seen before. */
    boolean knowsAll(String service, Set<String> builds) {
        return known.getOrDefault(service, Set.of()).containsAll(builds);
    }

    Set<String> services() {
        return Set.copyOf(known.keySet());
    }
}
