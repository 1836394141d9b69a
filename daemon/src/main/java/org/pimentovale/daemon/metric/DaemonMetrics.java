package org.pimentovale.daemon.metric;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.LongSupplier;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.kernel.retry.RetryReason;

/** The daemon's metrics. Refusals, retries and failures are counted by reason. Thread safe. */
public final class DaemonMetrics {
    private static final double MS_PER_S = 1_000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("pimentovale_requests")
            .help("Requests answered in full.")
            .labelNames("kind")
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("pimentovale_refusals")
            .help("Requests refused or failed.")
            .labelNames("code", "outcome")
            .register(registry);
    private final Counter retries = Counter.builder()
            .name("pimentovale_retries")
            .help("Attempts that were repeated.")
            .labelNames("pool", "reason")
            .register(registry);
    private final Counter attemptFailures = Counter.builder()
            .name("pimentovale_attempt_failures")
            .help("Attempts that failed.")
            .labelNames("pool", "reason")
            .register(registry);
    private final Histogram stageSeconds = Histogram.builder()
            .name("pimentovale_stage_seconds")
            .help("Time of an answered attempt.")
            .classicOnly()
            .classicUpperBounds(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
            .labelNames("stage")
            .register(registry);
    private final Counter endpointSeconds = Counter.builder()
            .name("pimentovale_stage_work_seconds")
            .help("Endpoint time by stage and use: answered, wasted.")
            .labelNames("stage", "use")
            .register(registry);
    private final Gauge inFlight = Gauge.builder()
            .name("pimentovale_requests_in_flight")
            .help("Requests that run now.")
            .register(registry);
    private final Counter storeFailures = Counter.builder()
            .name("pimentovale_store_failures")
            .help("Calls to the platform's store without an answer.")
            .labelNames("operation")
            .register(registry);
    private final Counter peerMessages = Counter.builder()
            .name("pimentovale_peer_messages")
            .help("Messages between instances by direction and result.")
            .labelNames("direction", "result")
            .register(registry);

    /**
     * Registers the gauge for the revision of the active configuration.
     *
     * @param revision supplies the revision; called at each scrape
     */
    public void registerRevisionGauge(LongSupplier revision) {
        GaugeWithCallback.builder()
                .name("pimentovale_configuration_revision")
                .help("Revision of the configuration in force.")
                .callback(callback -> callback.call((double) revision.getAsLong()))
                .register(registry);
    }

    /** Counts a request as in flight. */
    public void recordRequestStart() {
        inFlight.inc();
    }

    /** Removes a request from those in flight, whatever its outcome. */
    public void recordRequestEnd() {
        inFlight.dec();
    }

    /**
     * Counts a request with a complete response.
     *
     * @param kind the request's kind
     */
    public void recordCompletedRequest(String kind) {
        requests.labelValues(kind).inc();
    }

    /**
     * Counts a refused or failed request.
     *
     * @param code the reason reported to the caller
     * @param outcome the reported outcome of the work
     */
    public void recordRefusal(ErrorCode code, Outcome outcome) {
        refusals.labelValues(code.label(), outcome.label()).inc();
    }

    /**
     * Counts a retry.
     *
     * @param pool the pool's name
     * @param reason why the attempt is retried
     */
    public void recordRetry(String pool, RetryReason reason) {
        retries.labelValues(pool, reason.label()).inc();
    }

    /**
     * Counts a failed attempt and the endpoint time wasted on it.
     *
     * @param pool the pool's name
     * @param stage the stage's name
     * @param reason why the attempt failed
     * @param spentMs time since the dispatch, in milliseconds
     */
    public void recordFailedAttempt(String pool, String stage, RetryReason reason, long spentMs) {
        attemptFailures.labelValues(pool, reason.label()).inc();
        endpointSeconds.labelValues(stage, "wasted").inc(spentMs / MS_PER_S);
    }

    /**
     * Records the time of an attempt with a complete response.
     *
     * @param stage the stage's name
     * @param spentMs time since the dispatch, in milliseconds
     */
    public void recordCompletedAttempt(String stage, long spentMs) {
        stageSeconds.labelValues(stage).observe(spentMs / MS_PER_S);
        endpointSeconds.labelValues(stage, "answered").inc(spentMs / MS_PER_S);
    }

    /**
     * Counts a failed store call or a stored value that cannot be parsed.
     *
     * @param operation the value of the metric's operation label
     */
    public void recordStoreFailure(String operation) {
        storeFailures.labelValues(operation).inc();
    }

    /**
     * Counts a message between instances.
     *
     * @param direction {@code sent} or {@code received}
     * @param result {@code accepted} or {@code rejected}
     */
    public void recordPeerMessage(String direction, String result) {
        peerMessages.labelValues(direction, result).inc();
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
