package org.pimentovale.bench;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.pimentovale.json.Json;

/**
 * Implements {@code overhead}: compares the same call made directly to an endpoint and through the entry daemon, one
 * after the other. Stateless and thread safe.
 */
public final class OverheadCommand implements BenchCommand {
    private static final int WARM_UP_CALLS = 4_000;
    private static final int CALLS = 10_000;
    private static final int CONCURRENT_CALLERS = 32;
    private static final int OPEN_STREAMS = 1_000;
    private static final double CLOCK_TICKS_PER_S = 100.0;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String help() {
        return "latency, processor time and memory that the entry daemon adds to a call of an endpoint";
    }

    /** The server, path and body of a measured call. */
    private record CallTarget(String host, int port, String path, String body) {}

    @Override
    public void run(BenchOptions options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(2 * OPEN_STREAMS));
        Address directAddress = Address.parse(options.directEndpoint());
        Address entryAddress = Address.parse(options.entries().get(0));
        CallTarget directTarget = new CallTarget(
                directAddress.host(),
                directAddress.port(),
                "/v1/stages/check",
                "{\"request_id\":\"r\",\"stage\":\"check\",\"input\":{},\"results\":{}}");
        CallTarget entryTarget = new CallTarget(entryAddress.host(), entryAddress.port(), "/v1/requests/check", "{}");
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("resident_at_rest_mb", residentMegabytes(options.processIdentifier()));
        callSequentially(client, directTarget, WARM_UP_CALLS);
        callSequentially(client, entryTarget, WARM_UP_CALLS);
        Histogram directTimes = callSequentially(client, directTarget, CALLS);
        Histogram entryTimes = callSequentially(client, entryTarget, CALLS);
        for (double percentile : new double[] {50, 99}) {
            results.put("direct_us_p" + (int) percentile, directTimes.getValueAtPercentile(percentile));
            results.put("entry_us_p" + (int) percentile, entryTimes.getValueAtPercentile(percentile));
            results.put(
                    "added_us_p" + (int) percentile,
                    entryTimes.getValueAtPercentile(percentile) - directTimes.getValueAtPercentile(percentile));
        }
        callConcurrently(client, entryTarget, WARM_UP_CALLS);
        results.put("direct_requests_per_s", callConcurrently(client, directTarget, 4 * CALLS));
        double processorSecondsBefore = processorSeconds(options.processIdentifier());
        double rate = callConcurrently(client, entryTarget, 4 * CALLS);
        double processorSecondsSpent = processorSeconds(options.processIdentifier()) - processorSecondsBefore;
        results.put("entry_requests_per_s", rate);
        results.put("entry_processor_us_per_request", 1e6 * processorSecondsSpent / (4 * CALLS));
        results.put("resident_after_load_mb", residentMegabytes(options.processIdentifier()));
        results.put(
                "resident_1000_streams_mb",
                residentMegabytesWithOpenStreams(client, entryTarget, options.processIdentifier()));
        String json = Json.writeIndented(results);
        System.out.println(json);
        Measurement.writeJson(options.output(), results);
    }

    private static Future<Void> call(HttpClient client, CallTarget target) {
        return client.request(HttpMethod.POST, target.port(), target.host(), target.path())
                .compose(request -> request.send(Buffer.buffer(target.body())))
                .compose(response -> response.body())
                .mapEmpty();
    }

    /** Makes one call after another and returns their times in microseconds. */
    private static Histogram callSequentially(HttpClient client, CallTarget target, int calls) {
        Histogram times = new Histogram(TimeUnit.SECONDS.toMicros(10), 3);
        for (int position = 0; position < calls; position++) {
            long startNanos = System.nanoTime();
            call(client, target).toCompletionStage().toCompletableFuture().join();
            times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
        }
        return times;
    }

    /** Makes calls from concurrent callers and returns the requests per second. */
    private static double callConcurrently(HttpClient client, CallTarget target, int calls) {
        long startNanos = System.nanoTime();
        List<Future<?>> callers = new ArrayList<>();
        for (int caller = 0; caller < CONCURRENT_CALLERS; caller++) {
            callers.add(callRepeatedly(client, target, calls / CONCURRENT_CALLERS));
        }
        Future.all(callers).toCompletionStage().toCompletableFuture().join();
        return calls * 1e9 / (System.nanoTime() - startNanos);
    }

    private static Future<Void> callRepeatedly(HttpClient client, CallTarget target, int remaining) {
        return remaining == 0
                ? Future.succeededFuture()
                : call(client, target).compose(done -> callRepeatedly(client, target, remaining - 1));
    }

    private static long residentMegabytesWithOpenStreams(HttpClient client, CallTarget target, long processIdentifier) {
        List<Future<?>> responses = new ArrayList<>();
        for (int stream = 0; stream < OPEN_STREAMS; stream++) {
            responses.add(client.request(HttpMethod.POST, target.port(), target.host(), "/v1/requests/stream")
                    .compose(request -> request.putHeader("Accept", "text/event-stream")
                            .send(Buffer.buffer("{\"prompt\":\"x\",\"max_tokens\":100000}"))));
        }
        Future.all(responses).toCompletionStage().toCompletableFuture().join();
        return residentMegabytes(processIdentifier);
    }

    private static long residentMegabytes(long processIdentifier) {
        return readNumber(Path.of("/proc/" + processIdentifier + "/status"), "VmRSS:") / 1_024;
    }

    private static long readNumber(Path file, String name) {
        try {
            return Files.readAllLines(file).stream()
                    .filter(line -> line.startsWith(name))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static double processorSeconds(long processIdentifier) {
        try {
            String[] fields = Files.readString(Path.of("/proc/" + processIdentifier + "/stat"))
                    .replaceAll(".*\\) ", "")
                    .split(" ", -1);
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_S;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
