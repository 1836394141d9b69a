import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A key is taken away by a new version of the configuration. The gateway's connection to the store goes silent within the
 * answer that tells it; new connections work. Argument: the record's file.
 */
public final class SilentAnswer {
    private static final int CONFIG_APPLY_MS = 2_000;
    private static final int STABLE_MS = 3_000;
    private static final int OBSERVED_MS = 9_000;
    private static final int REQUEST_PAUSE_MS = 100;
    private static final int MORE_ROUTES = 390;
    private static final int PASSED_BYTES = 2_000;
    private static final int GATEWAYS = 3;

    private SilentAnswer() {}

    public static void main(String[] arguments) throws Exception {
        int result = Rig.COULD_NOT_RUN;
        try (Rig rig = new Rig()) {
            try {
                result = run(rig);
            } catch (Exception failure) {
                rig.note("could not run: " + failure);
            }
            rig.note("result " + result);
            rig.save(Path.of(arguments[0]));
        }
        System.exit(result);
    }

    private record Sent(String attempt, long afterAcknowledgementMs, long afterSilenceMs, int status) {}

    private static int run(Rig rig) throws Exception {
        Deployment deployment = new Deployment(rig);
        deployment.configure(configuration(1, "key-one"));
        deployment.engine("i-reservations-1", "reservations", "levis", 6, "1", "5", "800", "framed");
        deployment.startHeartbeats();
        List<Proxy> proxies = new ArrayList<>();
        for (int gateway = 1; gateway <= GATEWAYS; gateway++) {
            Proxy proxy = new Proxy(deployment.storePort);
            proxies.add(proxy);
            deployment.gateway("front-levis-" + gateway, "levis", proxy.port());
        }
        for (int port : deployment.fronts) {
            rig.note("gateway ready; before the change a request with the key gets " + send(port, "before-" + port));
        }
        Thread.sleep(5_000);
        List<CompletableFuture<Long>> silent = new ArrayList<>();
        for (Proxy proxy : proxies) {
            silent.add(rig.trouble
                    ? proxy.silence("GET /objects/config?watch=", PASSED_BYTES)
                    : CompletableFuture.completedFuture(System.nanoTime()));
        }
        Rig.store(deployment.storePort, "PUT", "/objects/config/main",
                "{\"metadata\":{\"name\":\"main\"},\"spec\":" + configuration(2, "key-two") + "}");
        long acknowledged = System.nanoTime();
        rig.note("operator: the version without the key is acknowledged");
        long silentNanos = 0;
        for (CompletableFuture<Long> connection : silent) {
            silentNanos = Math.max(silentNanos, connection.get());
        }
        rig.note(rig.trouble
                ? "one connection of each gateway to the store went silent after " + PASSED_BYTES + " bytes of the answer to its watch"
                : "no disruption");
        int broken = observe(rig, deployment.fronts, acknowledged, silentNanos);
        rig.logLines("event=configuration_in_force version=2").forEach(line -> rig.note("gateway: " + line));
        rig.logLines("event=store_").forEach(line -> rig.note("gateway: " + line));
        rig.note(broken + " requests with the key were run that were sent later than " + CONFIG_APPLY_MS
                + " ms after the acknowledgement and " + STABLE_MS + " ms after the disruption");
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends requests with the key to all gateways, and counts those that ran although only the older version allows it. */
    private static int observe(Rig rig, List<Integer> ports, long acknowledged, long silentNanos) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Sent>> requests = new ArrayList<>();
        for (int number = 0; number * REQUEST_PAUSE_MS < OBSERVED_MS; number++) {
            for (int gateway = 1; gateway <= ports.size(); gateway++) {
                String attempt = "gateway-" + gateway + "-attempt-" + number;
                int port = ports.get(gateway - 1);
                requests.add(clients.submit(() -> {
                    long now = System.nanoTime();
                    return new Sent(
                            attempt, (now - acknowledged) / 1_000_000, (now - silentNanos) / 1_000_000, send(port, attempt));
                }));
            }
            Thread.sleep(REQUEST_PAUSE_MS);
        }
        int broken = 0;
        for (Future<Sent> request : requests) {
            Sent sent = request.get();
            boolean run = !rig.logLines("run " + sent.attempt() + " ").isEmpty();
            boolean late = sent.afterAcknowledgementMs() > CONFIG_APPLY_MS && sent.afterSilenceMs() > STABLE_MS;
            broken += run && late ? 1 : 0;
            rig.note("client " + sent.attempt() + " with the key, sent " + sent.afterAcknowledgementMs()
                    + " ms after the acknowledgement: status " + sent.status() + (run ? ", run by the engine" : ", not run")
                    + (run && late ? "  <- broken" : ""));
        }
        clients.shutdownNow();
        return broken;
    }

    private static int send(int port, String attempt) throws Exception {
        return Rig.request(port, "POST /book/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 600\r\nAuthorization: Bearer key-one\r\nContent-Length: 2\r\nConnection: close\r\n\r\n",
                "ok".getBytes(), 3_000).status;
    }

    private static String configuration(int version, String key) {
        StringBuilder routes = new StringBuilder(
                Deployment.route("reservation-treuil", "/book/", "non_idempotent", "reservations", 600, 1)
                        .replace("\"public\":true", "\"public\":false"));
        for (int number = 0; number < MORE_ROUTES; number++) {
            routes.append(',').append(Deployment.route("more-" + number, "/more" + number + "/", "idempotent", "reservations", 600, 2));
        }
        String text = Deployment.configuration(routes.toString(), "reservations");
        return text.replace("{\"version\":1,", "{\"version\":" + version + ",\"tenants\":[{\"name\":\"grower\",\"apiKeys\":[\"" + key
                + "\"]},{\"name\":\"judge\",\"apiKeys\":[\"key-judge\"]}],");
    }
}
