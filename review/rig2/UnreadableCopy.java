import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * An engine leaves: its entry is removed. Then another writer stores, as an entry among the engines, a copy of the list of
 * engines that is cut off, so that its bytes can't be read. Argument: the record's file.
 */
public final class UnreadableCopy {
    private static final int STABLE_MS = 5_000;
    private static final int DRAIN_MS = 2_000;
    private static final int COPY_AFTER_MS = 1_000;
    private static final int OBSERVED_MS = 8_000;
    private static final int REQUEST_PAUSE_MS = 50;
    private static final int GATEWAYS = 2;
    private static final int ENGINES = 4;
    private static final String LEAVING = "i-banchi-1";

    private UnreadableCopy() {}

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

    private static int run(Rig rig) throws Exception {
        Deployment deployment = new Deployment(rig);
        deployment.configure(Deployment.configuration(
                Deployment.route("prenota-banco", "/book/", "non_idempotent", "banchi", 3_000, 1), "banchi"));
        for (int number = 1; number <= ENGINES; number++) {
            deployment.engine("i-banchi-" + number, "banchi", "zona-lago", 6, "1", "5", "800", "framed");
        }
        deployment.startHeartbeats();
        for (int number = 1; number <= GATEWAYS; number++) {
            deployment.gateway("front-zona-lago-" + number);
        }
        Thread.sleep(STABLE_MS);
        byte[] list = Rig.request(deployment.storePort, "GET /objects/servers HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n",
                new byte[0], 3_000).body;
        String copy = new String(list, StandardCharsets.UTF_8);
        copy = copy.substring(0, copy.length() * 9 / 10);
        deployment.remove(LEAVING);
        long acknowledged = System.nanoTime();
        rig.note("the entry of " + LEAVING + ", one of " + ENGINES + " engines, is removed (acknowledged); the engine serves on");
        ExecutorService clients = Executors.newCachedThreadPool();
        Map<String, Long> sentMs = new ConcurrentHashMap<>();
        boolean copied = !rig.trouble;
        for (int number = 0; number * REQUEST_PAUSE_MS < OBSERVED_MS; number++) {
            if (!copied && (System.nanoTime() - acknowledged) / 1_000_000 >= COPY_AFTER_MS) {
                copied = true;
                Rig.store(deployment.storePort, "POST", "/objects/servers?unreadable=other-copy", copy);
                rig.note("another writer stores the entry other-copy: " + copy.length()
                        + " bytes of a copy of the list from before, cut off");
            }
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                String attempt = "gateway-" + (gateway + 1) + "-attempt-" + number;
                int port = deployment.fronts.get(gateway);
                clients.submit(() -> {
                    sentMs.put(attempt, (System.nanoTime() - acknowledged) / 1_000_000);
                    return Rig.request(port, "POST /book/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\nConnection: close\r\n\r\n", "ok".getBytes(), 3_500);
                });
            }
            Thread.sleep(REQUEST_PAUSE_MS);
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        List<String> late = new ArrayList<>();
        int runs = 0;
        for (String line : rig.logLines("run gateway-")) {
            String attempt = line.split(" ")[1];
            runs++;
            if (line.endsWith("at " + LEAVING)) {
                boolean broken = sentMs.get(attempt) > DRAIN_MS;
                rig.note("engine " + LEAVING + " runs " + attempt + ", sent " + sentMs.get(attempt)
                        + " ms after the acknowledgement" + (broken ? "  <- broken" : ""));
                if (broken) {
                    late.add(attempt);
                }
            }
        }
        for (String event : List.of("endpoint=" + LEAVING + " revision", "event=history_lost kind=ENDPOINTS", "event=object_rejected")) {
            rig.logLines(event).stream().limit(6).forEach(line -> rig.note("gateway: " + line));
        }
        rig.logLines("event=objects_listed kind=ENDPOINTS").stream().filter(line -> !line.contains("objects=" + (ENGINES - 1) + " "))
                .forEach(line -> rig.note("gateway: " + line));
        rig.note(late.size() + " of " + runs + " requests reached " + LEAVING + " and were sent later than " + DRAIN_MS
                + " ms after the acknowledgement");
        return late.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
