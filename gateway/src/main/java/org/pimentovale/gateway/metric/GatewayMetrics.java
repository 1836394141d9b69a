package org.pimentovale.gateway.metric;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.LongSupplier;

/** The gateway's counters and latency histograms. Thread safe. */
public final class GatewayMetrics {
    private static final double MS_PER_SECOND = 1_000;
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.02, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("pimentovale_gateway_requests")
            .help("Requests that ended, by route, status (0 for none) and reason.")
            .labelNames("route", "status", "reason")
            .register(registry);
    private final Histogram requestSeconds = Histogram.builder()
            .name("pimentovale_gateway_request_seconds")
            .help("Time of answered requests, from their arrival to the end of the answer.")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .labelNames("route")
            .register(registry);
    private final Histogram firstEventSeconds = Histogram.builder()
            .name("pimentovale_gateway_first_event_seconds")
            .help("Time from the dispatch of a streamed request to its first event.")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .labelNames("route")
            .register(registry);
    private final Histogram stageSeconds = Histogram.builder()
            .name("pimentovale_gateway_stage_seconds")
            .help("Time of a stage, its queue included.")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .labelNames("service")
            .register(registry);
    private final Counter endpointFailures = Counter.builder()
            .name("pimentovale_gateway_endpoint_failures")
            .help("Calls to endpoints that failed or were refused, by service and reason.")
            .labelNames("service", "reason")
            .register(registry);
    private final Counter stageCalls = Counter.builder()
            .name("pimentovale_gateway_stage_calls")
            .help("Calls for pieces that this gateway made as an owner.")
            .labelNames("service")
            .register(registry);
    private final Counter stagePieces = Counter.builder()
            .name("pimentovale_gateway_stage_pieces")
            .help("Pieces in the calls that this gateway made as an owner.")
            .labelNames("service")
            .register(registry);

    /**
     * Counts a request that ended.
     *
     * @param route the route's name
     * @param status the status of the answer, zero for none
     * @param reason the code of the failure, or how it ended otherwise
     * @param elapsedMs the time since its arrival, in milliseconds
     */
    public void recordRequest(String route, int status, String reason, long elapsedMs) {
        requests.labelValues(route, Integer.toString(status), reason).inc();
        if (status > 0) {
            requestSeconds.labelValues(route).observe(elapsedMs / MS_PER_SECOND);
        }
    }

    /**
     * Counts the first event of a stream.
     *
     * @param route the route's name
     * @param waitedMs the time since the dispatch, in milliseconds
     */
    public void recordFirstEvent(String route, long waitedMs) {
        firstEventSeconds.labelValues(route).observe(waitedMs / MS_PER_SECOND);
    }

    /**
     * Counts a stage that was done.
     *
     * @param service the stage's service
     * @param elapsedMs its time, in milliseconds
     */
    public void recordStage(String service, long elapsedMs) {
        stageSeconds.labelValues(service).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a call to an endpoint that failed or was refused.
     *
     * @param service the endpoint's service
     * @param reason the failure's code
     */
    public void recordEndpointFailure(String service, String reason) {
        endpointFailures.labelValues(service, reason).inc();
    }

    /**
     * Counts a call for pieces.
     *
     * @param service the endpoint's service
     * @param pieces the pieces in it
     */
    public void recordStageCall(String service, int pieces) {
        stageCalls.labelValues(service).inc();
        stagePieces.labelValues(service).inc(pieces);
    }

    /**
     * Registers a gauge.
     *
     * @param name the gauge's name
     * @param help what it tells
     * @param value gives its value
     */
    public void registerGauge(String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text in UTF-8
     */
    public byte[] render() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return output.toByteArray();
    }
}
