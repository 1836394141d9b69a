package org.pimentovale.bench;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pimentovale.daemon.EntryInstance;
import org.pimentovale.daemon.settings.DaemonSettings;
import org.pimentovale.daemon.settings.DaemonSettingsReader;
import org.pimentovale.standin.StoreStandIn;
import org.pimentovale.store.HttpPlatform;
import org.pimentovale.store.change.ConfigurationEdit;
import org.pimentovale.store.change.ConfigurationEditor;

/**
 * Implements {@code fleet-slope}: measures the store calls, network traffic, processor time and memory of N idle
 * instances, and the time until a configuration change is active on all of them. All instances run in this process,
 * without endpoints. Stateless and thread safe.
 */
public final class FleetSlopeCommand implements BenchCommand {
    private static final int MEASUREMENT_WINDOW_S = 10;
    private static final int SETTLING_TIME_S = 6;
    private static final int CHANGES = 10;

    @Override
    public String name() {
        return "fleet-slope";
    }

    @Override
    public String help() {
        return "--sizes N,...: cost of N idle instances and time until a change is active on all of them";
    }

    @Override
    public void run(BenchOptions options) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (int size : options.sizes()) {
            Map<String, Object> row = measure(size);
            System.out.println(new JsonObject(row).encode());
            rows.add(row);
        }
        Measurement.writeJson(options.output(), rows);
    }

    private static Map<String, Object> measure(int size) {
        Vertx vertx = Vertx.vertx();
        StoreStandIn store = new StoreStandIn(0);
        vertx.deployVerticle(store).toCompletionStage().toCompletableFuture().join();
        long heapBefore = Measurement.usedHeapBytes();
        List<EntryInstance> instances = startInstances(vertx, store.actualPort(), size);
        pause(vertx, SETTLING_TIME_S);
        long heapBytes = Measurement.usedHeapBytes() - heapBefore;

        JsonObject countsBefore = readCallCounts(vertx, store);
        long bytesBefore = loopbackBytes();
        long processorNanosBefore = processorNanos();
        pause(vertx, MEASUREMENT_WINDOW_S);
        long processorNanos = processorNanos() - processorNanosBefore;
        long bytes = loopbackBytes() - bytesBefore;
        JsonObject countsAfter = readCallCounts(vertx, store);

        Map<String, Object> row = new LinkedHashMap<>();
        row.put("instances", size);
        for (String operation : List.of("read", "write", "watch", "delete")) {
            row.put(
                    "store_" + operation + "s_per_s",
                    countCalls(countsAfter, countsBefore, operation) / MEASUREMENT_WINDOW_S);
        }
        row.put("bytes_per_s_and_instance", bytes / MEASUREMENT_WINDOW_S / size);
        row.put(
                "processor_percent_and_instance",
                100.0 * processorNanos / TimeUnit.SECONDS.toNanos(MEASUREMENT_WINDOW_S) / size);
        row.put("heap_kb_and_instance", heapBytes / 1_024 / size);
        row.putAll(measureChanges(vertx, store, instances));
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return row;
    }

    private static List<EntryInstance> startInstances(Vertx vertx, int storePort, int size) {
        List<EntryInstance> instances = new ArrayList<>();
        Path key;
        try {
            key = Files.createTempFile("slope", ".key");
            Files.writeString(key, "slope-key");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        String text = "[instance]\nname = \"slope\"\nzone = \"zone-a\"\nworkers = 1\n[callers]\nport = 0\n"
                + "[operators]\nkey_file = \"" + key + "\"\n[peers]\nkey_file = \"" + key + "\"\n"
                + "[platform]\nplugin = \"http\"\naddress = \"127.0.0.1:" + storePort + "\"\n";
        DaemonSettings settings = new DaemonSettingsReader().read("slope.toml", text);
        for (int number = 0; number < size; number++) {
            EntryInstance instance = new EntryInstance(
                    vertx,
                    settings,
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                    Clock.systemUTC(),
                    new SecureRandom());
            instance.start().toCompletionStage().toCompletableFuture().join();
            instances.add(instance);
        }
        return instances;
    }

    /**
     * Measures the time from the acceptance of a change in the store until its revision is active on the last instance.
     * The change is not sent to any instance.
     */
    private static Map<String, Object> measureChanges(Vertx vertx, StoreStandIn store, List<EntryInstance> instances) {
        HttpPlatform platform = new HttpPlatform(vertx, "127.0.0.1:" + store.actualPort(), 2_000);
        ConfigurationEditor editor = new ConfigurationEditor(vertx, platform, 5);
        long slowestMs = 0;
        long sumMs = 0;
        long bytesBefore = loopbackBytes();
        for (int change = 0; change < CHANGES; change++) {
            long revision = editor.change("slope-" + change, ConfigurationEdit.withdrawZone("zone-" + change))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .revision();
            long acceptedNanos = System.nanoTime();
            while (instances.stream().anyMatch(instance -> instance.revision() < revision)) {
                pauseMs(vertx, 1);
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos);
            slowestMs = Math.max(slowestMs, elapsedMs);
            sumMs += elapsedMs;
        }
        long bytes = loopbackBytes() - bytesBefore;
        return Map.of(
                "change_in_force_ms_mean", sumMs / CHANGES,
                "change_in_force_ms_slowest", slowestMs,
                "bytes_per_change_and_instance", bytes / CHANGES / instances.size());
    }

    private static double countCalls(JsonObject after, JsonObject before, String operation) {
        double sum = 0;
        for (String key : after.fieldNames()) {
            if (key.startsWith(operation + " ")) {
                sum += after.getLong(key) - before.getLong(key, 0L);
            }
        }
        return sum;
    }

    private static JsonObject readCallCounts(Vertx vertx, StoreStandIn store) {
        Buffer body = vertx.createHttpClient()
                .request(HttpMethod.GET, store.actualPort(), "127.0.0.1", "/counts")
                .compose(request -> request.send())
                .compose(response -> response.body())
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        return new JsonObject(body);
    }

    private static void pause(Vertx vertx, int seconds) {
        pauseMs(vertx, TimeUnit.SECONDS.toMillis(seconds));
    }

    private static void pauseMs(Vertx vertx, long milliseconds) {
        vertx.timer(milliseconds, TimeUnit.MILLISECONDS)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private static long processorNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    /** Returns the bytes received over loopback by all processes; the machine has to be idle otherwise. */
    private static long loopbackBytes() {
        try {
            return Files.readAllLines(Path.of("/proc/net/dev")).stream()
                    .map(String::strip)
                    .filter(line -> line.startsWith("lo:"))
                    .mapToLong(line -> Long.parseLong(line.substring(3).strip().replaceAll("\\s.*", "")))
                    .sum();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
