package org.pimentovale.gateway.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.placement.FinishPrediction;
import org.pimentovale.kernel.placement.MemoryEstimate;
import org.pimentovale.kernel.placement.Placement;
import org.pimentovale.kernel.response.ResponseEnd;
import org.pimentovale.response.BodyFraming;

/**
 * Records the progress of one request and its responses in logs, metrics and the estimates of the tables. Not thread
 * safe; used on one event loop.
 */
final class ResponseRecorder {
    // The pauses of fewer events say little about an endpoint's speed.
    private static final int MIN_EVENTS_OF_SPEED = 5;

    private final CallerRequest request;
    private final GatewayTables tables;
    private final RequestServices services;
    private final RequestLog log;
    private OptionalLong streamBegunMs = OptionalLong.empty();

    ResponseRecorder(CallerRequest request, GatewayTables tables, RequestServices services, RequestLog log) {
        this.request = request;
        this.tables = tables;
        this.services = services;
        this.log = log;
    }

    /** Records that the request was sent, with the inputs of the placement if it chose that endpoint. */
    void sent(
            EndpointState endpoint,
            long remainingMs,
            Optional<Placement> placement,
            Optional<MemoryEstimate> memory,
            long nowMs) {
        List<Object> line = new ArrayList<>(List.of(
                "endpoint",
                endpoint.latest().identifier(),
                "build",
                endpoint.latest().build(),
                "left_ms",
                remainingMs,
                "calls",
                endpoint.expectedCalls(nowMs)));
        placement.filter(choice -> choice.endpoint() == endpoint).ifPresent(choice -> {
            line.addAll(inputs(choice));
            services.metrics()
                    .recordPlacement(
                            endpoint.latest().service(),
                            choice.basis().label(),
                            choice.prediction().finish());
            memory.ifPresent(estimate -> {
                line.addAll(inputs(estimate));
                services.metrics().recordEngineMemory(endpoint.latest().service(), estimate.fits() ? "fits" : "full");
            });
        });
        log.info("request_sent", line.toArray());
    }

    private static List<Object> inputs(Placement choice) {
        FinishPrediction prediction = choice.prediction();
        return List.of(
                "basis",
                choice.basis().label(),
                "estimated_calls",
                rounded(prediction.calls()),
                "slots",
                prediction.slots(),
                "slowdown",
                rounded(prediction.slowdown()),
                "speed_factor",
                rounded(prediction.workTimeFactor()),
                "finish",
                rounded(prediction.finish()));
    }

    private static List<Object> inputs(MemoryEstimate estimate) {
        return List.of(
                "tokens",
                estimate.demand().requestTokens(),
                "occupied_tokens",
                Math.round(estimate.occupiedTokens()),
                "memory_tokens",
                estimate.demand().capacityTokens());
    }

    private static String rounded(double figure) {
        return String.format(Locale.ROOT, "%.2f", figure);
    }

    /** Records the first bytes of a stream. */
    void streamBegun(EndpointCall call, BodyFraming framing) {
        long nowMs = tables.nowMs();
        streamBegunMs = OptionalLong.of(nowMs);
        long waitedMs = nowMs - call.sentMs();
        String route = request.routed().route().name();
        tables.firstEventEstimates().record(route, (double) waitedMs);
        services.metrics().recordFirstEvent(route, waitedMs);
        call.sample().firstEvent();
        log.info(
                "stream_begun",
                "endpoint",
                call.endpoint().latest().identifier(),
                "waited_ms",
                waitedMs,
                "framing",
                framing);
    }

    /** Records that the endpoint continued its answer after its beginning. */
    void continued(EndpointCall call) {
        call.markAnswerContinued();
        services.suspects().recordAnswer(request.attempt().sharedParts());
    }

    /** Records the end of a body, unless it was marked and whole. */
    void bodyEnded(EndpointCall call, BodyFraming framing, ResponseEnd end, int events) {
        call.sample().events(events);
        // A stream that is held back as a whole for its caller has no known beginning.
        if (end == ResponseEnd.WHOLE && events >= MIN_EVENTS_OF_SPEED && streamBegunMs.isPresent()) {
            recordSpeed(call.endpoint(), events, tables.nowMs() - streamBegunMs.getAsLong());
        }
        if (framing.marksEnd() && end == ResponseEnd.WHOLE) {
            return;
        }
        services.metrics().recordResponseEnd(call.endpoint().latest().service(), end.label());
        log.info(
                "response_end_judged",
                "endpoint",
                call.endpoint().latest().identifier(),
                "framing",
                framing,
                "request_written",
                call.pendingRequest().written(),
                "end",
                end.label());
    }

    /** Records the time of a stream between its first and last event, which does not contain the wait for a slot. */
    private void recordSpeed(EndpointState endpoint, int events, long durationMs) {
        long nowMs = tables.nowMs();
        tables.speeds(endpoint.latest().service())
                .record(
                        request.routed().route().name(),
                        endpoint.latest().incarnation(),
                        events - 1,
                        durationMs,
                        endpoint.load().estimateSlowdown(1, nowMs),
                        nowMs);
    }
}
