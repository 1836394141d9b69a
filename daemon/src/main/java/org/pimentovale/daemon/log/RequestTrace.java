package org.pimentovale.daemon.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pimentovale.log.Events;

/**
 * The events of the most recent requests, so that an operator can follow a single request.
 *
 * <p>Invariant: holds the events of at most the given number of requests; the oldest are evicted first. Thread safe;
 * it takes no other lock while it holds its own.
 */
public final class RequestTrace {
    private static final int MAX_EVENTS_PER_REQUEST = 64;

    private final int maxRequests;
    private final Map<String, List<String>> linesByRequest = new LinkedHashMap<>();

    /**
     * Creates an empty trace.
     *
     * @param maxRequests maximum number of requests whose events are kept
     */
    public RequestTrace(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /**
     * Adds an event of a request. Events beyond the limit for one request are dropped.
     *
     * @param requestIdentifier the request's identifier
     * @param event the event's name
     * @param pairs alternating keys and values
     */
    public void add(String requestIdentifier, String event, Object... pairs) {
        String line = Events.format(event, pairs);
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
     * @param requestIdentifier the request's identifier
     * @return one line per event, empty if this instance has no events of the request
     */
    public synchronized List<String> find(String requestIdentifier) {
        return List.copyOf(linesByRequest.getOrDefault(requestIdentifier, List.of()));
    }
}
