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
    private static final int MAX_EVENTS_PER_REQUEST = 64;

    private final int maxRequests;
    private final Map<String, List<String>> linesByRequest = new LinkedHashMap<>();

    /**
     * Creates an empty trace.
     *
     * @param maxRequests the largest number of requests
     */
    public RequestTrace(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /**
     * Adds an event of a request.
     *
     * @param requestIdentifier names the request
     * @param event the event's name
     * @param pairs keys and values in turn
     */
    public void add(String requestIdentifier, String event, Object... pairs) {
        String line = Events.line(event, pairs);
        synchronized (this) {
            List<String> lines = linesByRequest.computeIfAbsent(requestIdentifier, unused -> new ArrayList<>());
            if (lines.size() < MAX_EVENTS_PER_REQUEST) {
                lines.add(line);
            }
            if (linesByRequest.size() > maxRequests) {
                linesByRequest.remove(linesByRequest.keySet().iterator().next());
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
        return List.copyOf(linesByRequest.getOrDefault(requestIdentifier, List.of()));
    }
}
