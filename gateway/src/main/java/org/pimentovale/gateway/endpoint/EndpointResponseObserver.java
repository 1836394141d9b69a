package org.pimentovale.gateway.endpoint;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.ResponseHead;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.log.Events;

/**
 * Records what endpoints say about themselves in their responses: load, rate limits, that they are leaving, and delays.
 *
 * <p>Every response is to be observed, also one that nobody waits for any more. Not thread safe; used on one event
 * loop.
 */
public final class EndpointResponseObserver {
    private static final Logger LOG = Logger.getLogger(EndpointResponseObserver.class);
    private static final int STATUS_MISDIRECTED_REQUEST = 421;

    private final GatewayTables tables;
    private final RequestPermits permits;
    private final GatewayMetrics metrics;

    /**
     * Creates an observer.
     *
     * @param tables provides the time and the endpoints
     * @param permits keeps to the rate limits that endpoints name
     * @param metrics counts notices
     */
    public EndpointResponseObserver(GatewayTables tables, RequestPermits permits, GatewayMetrics metrics) {
        this.tables = tables;
        this.permits = permits;
        this.metrics = metrics;
    }

    /**
     * Records a response.
     *
     * @param target the entry of the endpoint when the request was sent to it
     * @param head the head of the response
     * @param answered whether the response answers the request, so that a limit which it does not name has ended
     */
    public void observe(EndpointRecord target, ResponseHead head, boolean answered) {
        head.unreadableHeaders().forEach(name -> metrics.recordEndpointNotice(target.service(), "unreadable-" + name));
        if (head.status() == STATUS_MISDIRECTED_REQUEST) {
            return;
        }
        tables.endpoints()
                .find(target.identifier())
                .filter(endpoint -> endpoint.latest().startedMs() == target.startedMs())
                .ifPresent(endpoint -> observe(endpoint, head, answered));
        if (head.leaving()) {
            recordLeaving(target, head);
        }
        head.delayMs().ifPresent(delayMs -> recordThrottled(target, head.status(), delayMs));
    }

    private void observe(EndpointState endpoint, ResponseHead head, boolean answered) {
        permits.recordResponse(endpoint, head.requestsPerSecond(), answered);
        head.load().ifPresent(report -> endpoint.recordLoad(report, tables.nowMs()));
    }

    private void recordLeaving(EndpointRecord target, ResponseHead head) {
        if (tables.endpoints().recordLeaving(target, tables.nowMs())) {
            metrics.recordEndpointNotice(target.service(), "leaving");
            log("endpoint_leaving", target, head.status());
        }
    }

    private void recordThrottled(EndpointRecord target, int status, long delayMs) {
        if (tables.endpoints().recordThrottled(target, delayMs, tables.nowMs())) {
            metrics.recordEndpointNotice(target.service(), "throttled");
            log("endpoint_throttled", target, status, "delay_ms", delayMs);
        }
    }

    private static void log(String event, EndpointRecord target, int status, Object... details) {
        List<Object> line = new ArrayList<>(List.of(
                "endpoint",
                target.identifier(),
                "started_ms",
                target.startedMs(),
                "service",
                target.service(),
                "source",
                "response",
                "status",
                status));
        line.addAll(List.of(details));
        Events.info(LOG, event, line.toArray());
    }
}
