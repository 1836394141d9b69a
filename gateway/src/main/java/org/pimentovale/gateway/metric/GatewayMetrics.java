package org.pimentovale.gateway.metric;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.pimentovale.kernel.batch.StageWork;
import org.pimentovale.kernel.rollout.RolloutPhase;

/** The gateway's counters and latency histograms. Thread safe. */
public final class GatewayMetrics {
    private static final double MS_PER_SECOND = 1_000;
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.02, 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10};

    private static final double[] FINISH_BUCKET_BOUNDS = {0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5, 10};

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
    private final Counter hedgeReports = Counter.builder()
            .name("pimentovale_gateway_hedge_reports")
            .help("Reports to the owners of hedges that were sent, answered or failed, or received as an owner.")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter hedges = Counter.builder()
            .name("pimentovale_gateway_hedges")
            .help("Second copies of slow requests, by service and outcome, or the reason against one.")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter responseEnds = Counter.builder()
            .name("pimentovale_gateway_response_ends")
            .help("Ends of responses that only the connection marked or that broke off, by service and end.")
            .labelNames("service", "end")
            .register(registry);
    private final Counter endpointNotices = Counter.builder()
            .name("pimentovale_gateway_endpoint_notices")
            .help("Endpoints that said they are leaving or take no requests for some time, and ignored headers.")
            .labelNames("service", "notice")
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
    private final Histogram predictedFinish = Histogram.builder()
            .name("pimentovale_gateway_predicted_finish")
            .help("Predicted time of a request relative to its work at a usual endpoint, by service and rule.")
            .classicOnly()
            .classicUpperBounds(FINISH_BUCKET_BOUNDS)
            .labelNames("service", "basis")
            .register(registry);
    private final Counter stageWork = Counter.builder()
            .name("pimentovale_gateway_stage_work")
            .help("Pieces of stages that ended here as an owner, by service, workspace (empty for none) and outcome.")
            .labelNames("service", "workspace", "outcome")
            .register(registry);
    private final Counter engineMemory = Counter.builder()
            .name("pimentovale_gateway_engine_memory")
            .help("Placements by the estimated memory of the chosen endpoint (fits, full), and requests refused as"
                    + " larger than any endpoint's memory, by service.")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter rejectedObjects = Counter.builder()
            .name("pimentovale_gateway_rejected_objects")
            .help("Stored objects whose content was not used, by kind and reason.")
            .labelNames("kind", "reason")
            .register(registry);
    private final Counter storeCalls = Counter.builder()
            .name("pimentovale_gateway_store_calls")
            .help("Calls to the store, by kind of object and cause; a watch counts when it ends.")
            .labelNames("kind", "cause")
            .register(registry);

    private final Gauge rolloutPhase = Gauge.builder()
            .name("pimentovale_gateway_rollout_phase")
            .help("Phase of a roll-out: 0 undecided, 1 trial, 2 full, 3 completed, 4 rolled back.")
            .labelNames("service")
            .register(registry);
    private final Counter rolloutSends = Counter.builder()
            .name("pimentovale_gateway_rollout_sends")
            .help("Requests sent during a roll-out, by service and side (old or new build).")
            .labelNames("service", "side")
            .register(registry);
    private final Counter rolloutBadAnswers = Counter.builder()
            .name("pimentovale_gateway_rollout_bad_answers")
            .help("Failed and slow responses during a roll-out, by service, route and side (old or new build).")
            .labelNames("service", "route", "side")
            .register(registry);

    /**
     * Shows the phases of all roll-outs.
     *
     * @param phases the phases by service
     */
    public void showRolloutPhases(Map<String, RolloutPhase> phases) {
        rolloutPhase.clear();
        phases.forEach((service, phase) -> rolloutPhase.labelValues(service).set(phase.ordinal()));
    }

    /**
     * Counts a request that is sent during a roll-out.
     *
     * @param service the service's name
     * @param side "old" or "new"
     */
    public void recordRolloutSend(String service, String side) {
        rolloutSends.labelValues(service, side).inc();
    }

    /**
     * Counts a bad response during a roll-out.
     *
     * @param service the service's name
     * @param route the route's name
     * @param side "old" or "new"
     */
    public void recordRolloutBadAnswer(String service, String route, String side) {
        rolloutBadAnswers.labelValues(service, route, side).inc();
    }

    /**
     * Records a request that has ended.
     *
     * @param route the route's name
     * @param status the HTTP status of the response, zero if none was completed
     * @param reason the label of the error code, "answered", or "caller-left"
     * @param elapsedMs the time since its arrival, in milliseconds
     */
    public void recordRequest(String route, int status, String reason, long elapsedMs) {
        requests.labelValues(route, Integer.toString(status), reason).inc();
        if (status > 0) {
            requestSeconds.labelValues(route).observe(elapsedMs / MS_PER_SECOND);
        }
    }

    /**
     * Records the time to the first event of a stream.
     *
     * @param route the route's name
     * @param waitedMs the time since the request was sent to the endpoint, in milliseconds
     */
    public void recordFirstEvent(String route, long waitedMs) {
        firstEventSeconds.labelValues(route).observe(waitedMs / MS_PER_SECOND);
    }

    /**
     * Records a completed stage.
     *
     * @param service the stage's service
     * @param elapsedMs the time since its start, queueing included, in milliseconds
     */
    public void recordStage(String service, long elapsedMs) {
        stageSeconds.labelValues(service).observe(elapsedMs / MS_PER_SECOND);
    }

    /**
     * Counts a call to an endpoint that failed or was refused.
     *
     * @param service the endpoint's service
     * @param reason the label of the error code, or "refused-" and the HTTP status
     */
    public void recordEndpointFailure(String service, String reason) {
        endpointFailures.labelValues(service, reason).inc();
    }

    /**
     * Counts a decision on the memory of endpoints.
     *
     * @param service the service's name
     * @param outcome "fits", "full" or "refused"
     */
    public void recordEngineMemory(String service, String outcome) {
        engineMemory.labelValues(service, outcome).inc();
    }

    /**
     * Counts a second copy of a slow request, or the reason against one.
     *
     * @param service the service's name
     * @param outcome what became of it
     */
    public void recordHedge(String service, String outcome) {
        hedges.labelValues(service, outcome).inc();
    }

    /**
     * Counts a report to the owner of a service's hedges.
     *
     * @param service the service's name
     * @param outcome what became of it
     */
    public void recordHedgeReport(String service, String outcome) {
        hedgeReports.labelValues(service, outcome).inc();
    }

    /**
     * Counts the end of a response that had to be judged.
     *
     * @param service the endpoint's service
     * @param end the label of what was decided
     */
    public void recordResponseEnd(String service, String end) {
        responseEnds.labelValues(service, end).inc();
    }

    /**
     * Counts a notice of an endpoint in one of its responses.
     *
     * @param service the endpoint's service
     * @param notice "leaving", "throttled", or "unreadable-" and the name of the header
     */
    public void recordEndpointNotice(String service, String notice) {
        endpointNotices.labelValues(service, notice).inc();
    }

    /**
     * Counts a batch call to an endpoint of a stage's service.
     *
     * @param service the stage's service
     * @param pieces the number of pieces in the call
     */
    public void recordStageCall(String service, int pieces) {
        stageCalls.labelValues(service).inc();
        stagePieces.labelValues(service).inc(pieces);
    }

    /**
     * Records the prediction for an endpoint to which a request is sent.
     *
     * @param service the endpoint's service
     * @param basis the rule that chose the endpoint
     * @param finish the predicted time, relative to the time of the work at a usual endpoint
     */
    public void recordPlacement(String service, String basis, double finish) {
        predictedFinish.labelValues(service, basis).observe(finish);
    }

    /**
     * Counts a stage that this gateway ended as an owner.
     *
     * @param work the stage
     * @param served whether it has all results; otherwise it was refused or failed
     */
    public void recordStageWork(StageWork work, boolean served) {
        stageWork
                .labelValues(work.service(), work.workspace().orElse(""), served ? "served" : "refused")
                .inc(work.pieces());
    }

    /**
     * Counts a stored object whose content is not used.
     *
     * @param kind the object's kind
     * @param reason why it is not used
     */
    public void recordRejectedObject(String kind, String reason) {
        rejectedObjects.labelValues(kind, reason).inc();
    }

    /**
     * Counts a call to the store.
     *
     * @param kind the kind of the objects
     * @param cause why the call was made, or what a watch brought
     */
    public void recordStoreCall(String kind, String cause) {
        storeCalls.labelValues(kind, cause).inc();
    }

    /**
     * Registers a gauge.
     *
     * @param name the metric's name, which must not be registered yet
     * @param help the help text of the metric
     * @param value supplies the current value at each scrape
     */
    public void registerGauge(String name, String help, LongSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }

    /**
     * Registers a gauge with a label.
     *
     * @param name the metric's name, which must not be registered yet
     * @param help the help text of the metric
     * @param label the name of the label
     * @param values supplies the current value for each value of the label at each scrape
     */
    public void registerGauges(String name, String help, String label, Supplier<Map<String, Double>> values) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((labelValue, value) -> callback.call(value, labelValue)))
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
