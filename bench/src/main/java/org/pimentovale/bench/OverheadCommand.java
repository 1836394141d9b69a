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
 * The command {@code overhead}: the same call made directly and through the entry daemon, in turn. Stateless and thread
 * safe.
 */
public final class OverheadCommand implements BenchCommand {
    private static final int WARM_UP_CALLS = 4_000;
    private static final int CALLS = 10_000;
    private static final int CONCURRENT_CALLERS = 32;
    private static final int OPEN_STREAMS = 1_000;
    private static final double TICKS_PER_S = 100.0;

    @Override
    public String name() {
        return "overhead";
    }

    @Override
    public String help() {
        return "time, processor time and memory that the entry daemon adds to a call of an endpoint";
    }

    /** One way to make the call. */
    private record Way(String host, int port, String path, String body) {}

    @Override
    public void run(BenchOptions options) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(2 * OPEN_STREAMS));
        Address direct = Address.of(options.direct());
        Address entry = Address.of(options.entries().get(0));
        Way directWay = new Way(
                direct.host(),
                direct.port(),
                "/v1/stages/check",
                "{\"request_id\":\"r\",\"stage\":\"check\",\"input\":{},\"results\":{}}");
        Way entryWay = new Way(entry.host(), entry.port(), "/v1/requests/check", "{}");
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("resident_at_rest_mb", residentMegabytes(options.process()));
        sequence(client, directWay, WARM_UP_CALLS);
        sequence(client, entryWay, WARM_UP_CALLS);
        Histogram directTimes = sequence(client, directWay, CALLS);
        Histogram entryTimes = sequence(client, entryWay, CALLS);
        for (double percentile : new double[] {50, 99}) {
            figures.put("direct_us_p" + (int) percentile, directTimes.getValueAtPercentile(percentile));
            figures.put("entry_us_p" + (int) percentile, entryTimes.getValueAtPercentile(percentile));
            figures.put(
                    "added_us_p" + (int) percentile,
                    entryTimes.getValueAtPercentile(percentile) - directTimes.getValueAtPercentile(percentile));
        }
        concurrent(client, entryWay, WARM_UP_CALLS);
        figures.put("direct_requests_per_s", concurrent(client, directWay, 4 * CALLS));
        double before = processorSeconds(options.process());
        double rate = concurrent(client, entryWay, 4 * CALLS);
        double spent = processorSeconds(options.process()) - before;
        figures.put("entry_requests_per_s", rate);
        figures.put("entry_processor_us_per_request", 1e6 * spent / (4 * CALLS));
        figures.put("resident_after_load_mb", residentMegabytes(options.process()));
        figures.put("resident_1000_streams_mb", withOpenStreams(client, entryWay, options.process()));
        String json = Json.writeIndented(figures);
        System.out.println(json);
        Measurement.write(options.output(), figures);
    }

    private static Future<Void> call(HttpClient client, Way way) {
        return client.request(HttpMethod.POST, way.port(), way.host(), way.path())
                .compose(request -> request.send(Buffer.buffer(way.body())))
                .compose(response -> response.body())
                .mapEmpty();
    }

    /** One call after another; times in microseconds. */
    private static Histogram sequence(HttpClient client, Way way, int calls) {
        Histogram times = new Histogram(TimeUnit.SECONDS.toMicros(10), 3);
        for (int position = 0; position < calls; position++) {
            long startNanos = System.nanoTime();
            call(client, way).toCompletionStage().toCompletableFuture().join();
            times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
        }
        return times;
    }

    /** Several callers at once; requests a second. */
    private static double concurrent(HttpClient client, Way way, int calls) {
        long startNanos = System.nanoTime();
        List<Future<?>> callers = new ArrayList<>();
        for (int caller = 0; caller < CONCURRENT_CALLERS; caller++) {
            callers.add(repeat(client, way, calls / CONCURRENT_CALLERS));
        }
        Future.all(callers).toCompletionStage().toCompletableFuture().join();
        return calls * 1e9 / (System.nanoTime() - startNanos);
    }

    private static Future<Void> repeat(HttpClient client, Way way, int left) {
        return left == 0 ? Future.succeededFuture() : call(client, way).compose(done -> repeat(client, way, left - 1));
    }

    private static long withOpenStreams(HttpClient client, Way way, long process) {
        List<Future<?>> opened = new ArrayList<>();
        for (int stream = 0; stream < OPEN_STREAMS; stream++) {
            opened.add(client.request(HttpMethod.POST, way.port(), way.host(), "/v1/requests/stream")
                    .compose(request -> request.putHeader("Accept", "text/event-stream")
                            .send(Buffer.buffer("{\"prompt\":\"x\",\"max_tokens\":100000}"))));
        }
        Future.all(opened).toCompletionStage().toCompletableFuture().join();
        return residentMegabytes(process);
    }

    private static long residentMegabytes(long process) {
        return field(Path.of("/proc/" + process + "/status"), "VmRSS:") / 1_024;
    }

    private static long field(Path file, String name) {
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

    private static double processorSeconds(long process) {
        try {
            String[] fields = Files.readString(Path.of("/proc/" + process + "/stat"))
                    .replaceAll(".*\\) ", "")
                    .split(" ", -1);
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_S;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
