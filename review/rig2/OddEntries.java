import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Another writer lists large entries among the engines, which name no engine to use. Argument: the record's file.
 */
public final class OddEntries {
    private static final int ENTRIES = 10;
    private static final int LARGE_CHARACTERS = 1_000_000;
    private static final int SMALL_CHARACTERS = 100;
    private static final int WRITE_PAUSE_MS = 300;
    private static final int SETTLING_MS = 5_000;
    private static final int DRAIN_MS = 2_000;
    private static final int GATEWAYS = 4;
    private static final int ENGINES = 4;
    private static final int REQUESTS = 60;
    private static final int REQUEST_PAUSE_MS = 200;
    private static final int ROUTE_TIMEOUT_MS = 3_000;
    private static final int RULE_SLACK_MS = 500;
    private static final int RULE_COUNT = 8;

    private OddEntries() {}

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
                Deployment.route("prenota-banco", "/book/", "non_idempotent", "banchi", ROUTE_TIMEOUT_MS, 1), "banchi"));
        for (int number = 1; number <= ENGINES; number++) {
            deployment.engine("i-banchi-" + number, "banchi", "zona-lago", 6, "1", "5", "800", "framed");
        }
        deployment.startHeartbeats();
        for (int number = 1; number <= GATEWAYS; number++) {
            deployment.gateway("front-zona-lago-" + number);
        }
        int characters = rig.trouble ? LARGE_CHARACTERS : SMALL_CHARACTERS;
        for (int port : deployment.fronts) {
            rig.note("gateway ready; a request before gets " + send(port, "before-" + port));
        }
        for (int number = 0; number < ENTRIES; number++) {
            Rig.store(deployment.storePort, "POST", "/objects/servers", "{\"metadata\":{\"name\":\"other-" + number
                    + "\"},\"spec\":{\"service\":5,\"samples\":" + samples(characters) + "}}");
            Thread.sleep(WRITE_PAUSE_MS);
        }
        rig.note("another writer has listed " + ENTRIES + " entries of about " + characters + " bytes among the engines");
        Thread.sleep(SETTLING_MS);
        deployment.report("i-banchi-1", "draining");
        long acknowledged = System.nanoTime();
        rig.note("engine i-banchi-1, one of " + ENGINES + ", reports that it drains (acknowledged)");
        Map<String, Long> sentMs = new ConcurrentHashMap<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        List<List<Future<Integer>>> requests = new ArrayList<>();
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            requests.add(new ArrayList<>());
        }
        for (int number = 0; number < REQUESTS; number++) {
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                int port = deployment.fronts.get(gateway);
                String attempt = "gateway-" + (gateway + 1) + "-attempt-" + number;
                requests.get(gateway).add(clients.submit(() -> {
                    sentMs.put(attempt, (System.nanoTime() - acknowledged) / 1_000_000);
                    int status = send(port, attempt);
                    rig.note("client " + attempt + ": " + (status == 0 ? "no answer" : status < 0 ? "connection ended" : "status " + status));
                    return status;
                }));
            }
            Thread.sleep(REQUEST_PAUSE_MS);
        }
        int allUnanswered = 0;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            int unanswered = 0;
            for (Future<Integer> request : requests.get(gateway)) {
                unanswered += request.get() == 0 ? 1 : 0;
            }
            rig.note("gateway " + (gateway + 1) + ": " + unanswered + " of " + REQUESTS + " requests had no final answer "
                    + ROUTE_TIMEOUT_MS + " + " + RULE_SLACK_MS + " ms after they were sent; process alive: "
                    + deployment.gateways.get(gateway).isAlive());
            allUnanswered += unanswered;
        }
        long late = 0;
        for (String line : rig.logLines("run gateway-")) {
            String attempt = line.split(" ")[1];
            late += line.endsWith("at i-banchi-1") && sentMs.get(attempt) > DRAIN_MS ? 1 : 0;
        }
        rig.note("CONFIG: " + allUnanswered + " of " + GATEWAYS * REQUESTS + " requests without a final answer; DRAIN: " + late
                + " requests reached the engine that drains and were sent later than " + DRAIN_MS + " ms after the acknowledgement");
        rig.logLines("event=store_").stream().limit(10).forEach(line -> rig.note("gateway: " + line));
        clients.shutdownNow();
        boolean unserved = allUnanswered >= RULE_COUNT && 4 * allUnanswered > GATEWAYS * REQUESTS;
        return unserved || late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends a small request; returns the status, 0 if there is no answer within the rule's bound, -1 if the connection ended. */
    private static int send(int port, String attempt) {
        try {
            return Rig.request(port, "POST /book/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Ms: " + ROUTE_TIMEOUT_MS + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n",
                    "ok".getBytes(), ROUTE_TIMEOUT_MS + RULE_SLACK_MS).status;
        } catch (SocketTimeoutException silent) {
            return 0;
        } catch (IOException ended) {
            return -1;
        }
    }

    /** Returns a JSON list of about so many characters, as a writer of measurements leaves it. */
    private static String samples(int characters) {
        StringBuilder list = new StringBuilder("[");
        for (int number = 0; list.length() < characters; number++) {
            list.append(number == 0 ? "" : ",").append("{\"t\":").append(number).append(",\"v\":").append(number % 97).append('}');
        }
        return list.append(']').toString();
    }
}
