package org.pimentovale.gateway.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The numbers of running calls by service and build, counted also without an order, since an order may begin while
 * calls run. A call costs one lookup when it begins and none when it ends. Counters are never removed; there is one for
 * each build that was called. Not thread safe; used on one event loop.
 */
final class RunningCalls {
    private final Map<Build, Counter> counters = new HashMap<>();

    private record Build(String service, String name) {}

    /** The number of running calls at one build. */
    static final class Counter {
        private int running;

        void end() {
            running--;
        }
    }

    /** Records that a call begins, and returns the counter to be told of its end. */
    Counter begin(String service, String build) {
        Counter counter = counters.computeIfAbsent(new Build(service, build), unused -> new Counter());
        counter.running++;
        return counter;
    }

    /** Returns the number of calls of a service that run at other builds. */
    int atOtherBuilds(String service, String build) {
        return counters.entrySet().stream()
                .filter(known -> known.getKey().service().equals(service)
                        && !known.getKey().name().equals(build))
                .mapToInt(known -> known.getValue().running)
                .sum();
    }
}
