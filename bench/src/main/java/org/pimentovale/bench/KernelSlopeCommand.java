package org.pimentovale.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.zip.Deflater;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.kernel.routing.PredictedFinishPolicy;
import org.pimentovale.kernel.schedule.CallResult;
import org.pimentovale.kernel.schedule.Grant;
import org.pimentovale.kernel.schedule.GrantListener;
import org.pimentovale.kernel.schedule.PoolScheduler;
import org.pimentovale.kernel.schedule.StageAttempt;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Route;
import org.pimentovale.table.Stage;
import org.pimentovale.table.Tables;
import org.pimentovale.table.Urgency;

/**
 * Implements {@code kernel-slope}: measures decision time, memory and configuration size as a function of the number of
 * endpoints, with the kernel alone. Stateless and thread safe.
 */
public final class KernelSlopeCommand implements BenchCommand {
    private static final int WARM_UP_DECISIONS = 100_000;
    private static final int MEASURED_DECISIONS = 200_000;
    private static final int POOLS = 4;
    private static final int ROUTES = 34;

    @Override
    public String name() {
        return "kernel-slope";
    }

    @Override
    public String help() {
        return "--sizes N,...: decision time, memory and configuration size for N endpoints";
    }

    @Override
    public void run(BenchOptions options) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (int size : options.sizes()) {
            Map<String, Object> row = measure(size);
            System.out.println(Json.writeIndented(row));
            rows.add(row);
        }
        Measurement.writeJson(options.output(), rows);
    }

    private static Map<String, Object> measure(int size) {
        Configuration configuration = createConfiguration(size);
        byte[] stored = Json.write(configuration);
        long heapBefore = Measurement.usedHeapBytes();
        ServingTables tables = new ServingTables(
                () -> 1_000,
                SplittableRandom::new,
                new PredictedFinishPolicy(),
                new MemberTable(new Member("self", "zone-0", "host:1", "host:2")),
                2_000);
        tables.configuration().offer(configuration);
        for (Pool pool : configuration.tables().pools()) {
            for (Endpoint endpoint : pool.endpoints()) {
                tables.observe(endpoint.address(), new LoadReport("one", 0, Optional.empty()), 900);
                tables.warmth().recordWarm(new EndpointIncarnation(endpoint.address(), "one"));
            }
        }
        long heapBytes = Measurement.usedHeapBytes() - heapBefore;
        PoolScheduler scheduler = tables.scheduler("pool-0").orElseThrow();
        runDecisions(scheduler, WARM_UP_DECISIONS);
        long nanos = runDecisions(scheduler, MEASURED_DECISIONS);
        long parseNanos = System.nanoTime();
        for (int repeat = 0; repeat < 20; repeat++) {
            Configuration.parse(stored);
        }
        parseNanos = (System.nanoTime() - parseNanos) / 20;
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("endpoints", size);
        row.put("endpoints_of_the_pool", size / POOLS);
        row.put("subset", scheduler.subset().size());
        row.put("decision_us", nanos / 1_000.0 / MEASURED_DECISIONS);
        row.put("tables_heap_kb", heapBytes / 1_024);
        row.put("configuration_bytes", stored.length);
        row.put("configuration_compressed_bytes", compressedLength(stored));
        row.put("configuration_parse_us", parseNanos / 1_000);
        return row;
    }

    private static Configuration createConfiguration(int size) {
        List<Pool> pools = new ArrayList<>();
        int port = 1_024;
        for (int number = 0; number < POOLS; number++) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (int position = 0; position < size / POOLS; position++) {
                endpoints.add(new Endpoint("10.0." + number + "." + position % 250 + ":" + port++, "zone-" + port % 7));
            }
            pools.add(new Pool(
                    "pool-" + number,
                    "chat",
                    "model-" + number,
                    64,
                    4,
                    8,
                    1_000,
                    2_000,
                    900,
                    false,
                    List.of(429),
                    endpoints));
        }
        List<Route> routes = new ArrayList<>();
        for (int number = 0; number < ROUTES; number++) {
            List<Stage> stages = new ArrayList<>();
            for (int stage = 0; stage < 3 + number % 4; stage++) {
                stages.add(new Stage("stage-" + stage, "pool-" + (number + stage) % POOLS, true));
            }
            routes.add(new Route("kind-" + number, 6_000, Urgency.INTERACTIVE, stages));
        }
        return Configuration.NONE.next("first", new Tables(routes, pools), List.of());
    }

    /**
     * Submits attempts, releasing the oldest grant whenever more than 16 are in flight, and returns the elapsed time in
     * nanoseconds.
     */
    private static long runDecisions(PoolScheduler scheduler, int decisions) {
        Deque<Grant> running = new ArrayDeque<>();
        GrantListener listener = new GrantListener() {
            @Override
            public void granted(Grant grant) {
                running.add(grant);
            }

            @Override
            public void refused(ErrorCode code, long retryAfterMs) {
                throw new IllegalStateException(code.label());
            }
        };
        long startNanos = System.nanoTime();
        for (int decision = 0; decision < decisions; decision++) {
            scheduler.submit(
                    new StageAttempt(
                            "request",
                            "workspace-" + decision % 100,
                            Urgency.INTERACTIVE,
                            1_000_000,
                            0,
                            decision % 500,
                            Set.of(),
                            false),
                    listener);
            if (running.size() > 16) {
                scheduler.release(running.poll(), CallResult.completed(900));
            }
        }
        return System.nanoTime() - startNanos;
    }

    private static int compressedLength(byte[] bytes) {
        Deflater deflater = new Deflater();
        deflater.setInput(bytes);
        deflater.finish();
        int length = deflater.deflate(new byte[bytes.length]);
        deflater.end();
        return length;
    }
}
