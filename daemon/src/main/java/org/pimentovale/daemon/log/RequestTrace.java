package org.pimentovale.daemon.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.log.Events;

/**
 * The latest events of requests, for an operator who follows one of them.
 *
 * <p>Invariant: holds the events of at most the given number of requests; the oldest go first. Thread safe; its lock is
 * a leaf.
 */
public final class RequestTrace {
    private static final int EVENTS_PER_REQUEST = 64;

    private final int capacity;
    private final Map<String, List<String>> events = new LinkedHashMap<>();

    /**
     * Creates an empty trace.
     *
     * @param capacity the largest number of requests
     */
    public RequestTrace(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds an event of a request.
     *
     * @param requestIdentifier names the request
     * @param event the event's name
     * @param pairs keys and values in turn
     */
    public void add(String requestIdentifier, String event, Object... pairs) {
        String line = Events.format(event, pairs);
        synchronized (this) {
            List<String> lines = events.computeIfAbsent(requestIdentifier, unused -> new ArrayList<>());
            if (lines.size() < EVENTS_PER_REQUEST) {
                lines.add(line);
            }
            if (events.size() > capacity) {
                events.remove(events.keySet().iterator().next());
            }
        }
    }

    /**
     * Returns the events of a request.
     *
     * @param requestIdentifier names the request
     * @return one line an event, none where the request is not known here
     */
    public synchronized List<String> find(String requestIdentifier) {
        return List.copyOf(events.getOrDefault(requestIdentifier, List.of()));
    }
}
