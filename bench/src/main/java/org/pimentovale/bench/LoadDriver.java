package org.pimentovale.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;

/**
 * Open-loop load generator: sends the requests of a workload at random times that do not depend on the responses, and
 * records the outcome of each request. Not thread safe; used on one event loop.
 */
final class LoadDriver {
    private static final int MAX_LATENCY_MS = 120_000;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int READINESS_PERIOD_MS = 500;
    private static final int WINDOW_START_MS = 10_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final BenchOptions options;
    private final Workload workload;
    private final SplittableRandom random;
    private final long startNanos = System.nanoTime();
    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Map<String, Integer> failures = new TreeMap<>();
    private final List<Integer> sentBySecond = new ArrayList<>();
    private final List<Integer> attainedBySecond = new ArrayList<>();
    private final Promise<Void> finished = Promise.promise();
    private final Set<String> notReadyEntries = new HashSet<>();
    private int sent;
    private int ended;
    private int attained;
    private int attainedGeneratingInWindow;
    private boolean allSent;

    LoadDriver(Vertx vertx, BenchOptions options) {
        this.vertx = vertx;
        this.options = options;
        this.workload = Workload.of(options.workload());
        this.random = new SplittableRandom(options.seed());
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(2_000), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    Future<Void> run() {
        for (int second = 0; second <= options.seconds(); second++) {
            sentBySecond.add(0);
            attainedBySecond.add(0);
        }
        checkReadiness();
        vertx.setPeriodic(READINESS_PERIOD_MS, fired -> checkReadiness());
        scheduleNext(0);
        return finished.future();
    }

    /**
     * Polls the readiness of the entry instances. Requests go only to ready instances, as with the platform's load
     * balancer, unless none is ready. An instance that does not respond keeps its last state.
     */
    private void checkReadiness() {
        for (String entry : options.entries()) {
            Address target = Address.parse(entry);
            client.request(HttpMethod.GET, target.port(), target.host(), "/ready")
                    .compose(clientRequest -> clientRequest.send())
                    .onSuccess(response -> {
                        if (response.statusCode() == 200) {
                            notReadyEntries.remove(entry);
                        } else {
                            notReadyEntries.add(entry);
                        }
                    });
        }
    }

    private String nextEntry() {
        List<String> ready = options.entries().stream()
                .filter(entry -> !notReadyEntries.contains(entry))
                .toList();
        List<String> candidates = ready.isEmpty() ? options.entries() : ready;
        return candidates.get(sent % candidates.size());
    }

    /** Schedules the next request; the times between arrivals are exponentially distributed. */
    private void scheduleNext(double atMs) {
        double nextMs = atMs - Math.log(1 - random.nextDouble()) * 1_000 / options.rate();
        if (nextMs >= options.seconds() * 1_000.0) {
            allSent = true;
            finishIfDone();
            return;
        }
        long waitMs = Math.max(1, Math.round(nextMs - elapsedMs()));
        vertx.setTimer(waitMs, fired -> {
            send();
            scheduleNext(nextMs);
        });
    }

    private double elapsedMs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos) / 1_000.0;
    }

    private void send() {
        Workload.Kind kind = workload.nextKind(random);
        Address entry = Address.parse(nextEntry());
        RequestOptions request = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(entry.host())
                .setPort(entry.port())
                .setURI("/v1/requests/" + kind.name())
                .putHeader("Pimentovale-Workspace", Workload.nextWorkspace(random));
        if (kind.keyed()) {
            request.putHeader("Idempotency-Key", options.label() + "-" + options.seed() + "-" + sent);
        }
        int second = (int) (elapsedMs() / 1_000);
        sent++;
        sentBySecond.set(second, sentBySecond.get(second) + 1);
        long sentNanos = System.nanoTime();
        client.request(request)
                .compose(clientRequest -> clientRequest.send(Buffer.buffer(Workload.nextBody(random))))
                .compose(response -> response.body()
                        .map(body -> response.statusCode() == 200 ? "attained" : failureLabel(body.getBytes())))
                .otherwise(failure -> "connection")
                .onSuccess(outcome -> recordOutcome(kind, outcome, second, sentNanos));
    }

    private static String failureLabel(byte[] body) {
        try {
            JsonNode problem = Json.readTree(body);
            return problem.path("code").asText("none") + "/"
                    + problem.path("outcome").asText("none");
        } catch (ServingException notJson) {
            return "no-problem";
        }
    }

    private void recordOutcome(Workload.Kind kind, String outcome, int second, long sentNanos) {
        ended++;
        long latencyMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        boolean successful = outcome.equals("attained");
        if (successful) {
            latencies
                    .computeIfAbsent(kind.name(), unused -> new Histogram(MAX_LATENCY_MS, 2))
                    .recordValue(Math.min(MAX_LATENCY_MS, latencyMs));
        }
        if (successful && latencyMs <= kind.deadlineMs()) {
            attained++;
            boolean inWindow = elapsedMs() >= WINDOW_START_MS && elapsedMs() < options.seconds() * 1_000.0;
            attainedGeneratingInWindow += kind.generates() && inWindow ? 1 : 0;
            attainedBySecond.set(second, attainedBySecond.get(second) + 1);
        } else {
            failures.merge(successful ? "late" : outcome, 1, Integer::sum);
        }
        finishIfDone();
    }

    private void finishIfDone() {
        if (allSent && ended == sent) {
            finished.tryComplete();
        }
    }

    ReplayResult result(Map<String, Double> endpointRecords, double generatingShare) {
        Map<String, Map<String, Long>> percentiles = new HashMap<>();
        latencies.forEach((kind, histogram) -> percentiles.put(
                kind,
                new TreeMap<>(Map.of(
                        "p50", histogram.getValueAtPercentile(50),
                        "p95", histogram.getValueAtPercentile(95),
                        "p99", histogram.getValueAtPercentile(99)))));
        double capacityInWindow =
                options.capacity() * generatingShare * (options.seconds() - WINDOW_START_MS / 1_000.0);
        return new ReplayResult(
                options.label(),
                options.workload(),
                options.seed(),
                options.rate(),
                options.capacity(),
                sent,
                attained,
                (double) attained / Math.max(1, sent),
                capacityInWindow == 0 ? 0 : attainedGeneratingInWindow / capacityInWindow,
                new TreeMap<>(percentiles),
                failures,
                sentBySecond,
                attainedBySecond,
                endpointRecords);
    }

    /** Sums up the statistics of the endpoints by field; endpoints that do not respond are left out. */
    Future<Map<String, Double>> fetchEndpointRecords() {
        Map<String, Double> sums = new TreeMap<>();
        Future<Void> all = Future.succeededFuture();
        for (String address : options.endpoints()) {
            Address target = Address.parse(address);
            all = all.compose(done -> client.request(HttpMethod.GET, target.port(), target.host(), "/stats")
                    .compose(clientRequest -> clientRequest.send())
                    .compose(response -> response.body())
                    .onSuccess(body -> Json.readTree(body.getBytes())
                            .fields()
                            .forEachRemaining(field ->
                                    sums.merge(field.getKey(), field.getValue().asDouble(), Double::sum)))
                    .<Void>mapEmpty()
                    .otherwiseEmpty());
        }
        return all.map(sums);
    }
}
