import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients come at once with bodies of the largest size that the configuration allows. */
final class LargeBodies {
    private static final double REQUESTS_PER_SECOND = 4;
    private static final double BURST = 2.5;
    private static final int DURATION_MS = 5_200;
    private static final int UPLOAD_MS = 3_000;
    private static final int STEP_MS = 20;
    private static final int SLACK_MS = 500;
    private static final int QUIET_MS = 20_000;
    private static final int LOOKUPS = 12;

    private LargeBodies() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LargeBodies::run);
    }

    private static boolean run() throws Exception {
        Store store = new Store(50);
        store.put("config", "main", Deployment.configuration(1, List.of(Deployment.KEY)));
        List<Engine> engines = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            engines.add(new Engine("i-" + number, Deployment.SERVICE, store, 86));
        }
        Rig.Gateway gateway = new Rig.Gateway("front-levis-1", "levis", store.open().port);
        gateway.start();
        gateway.awaitReady(30_000);
        Thread.sleep(3_000);

        double perSecond = REQUESTS_PER_SECOND * (Rig.TROUBLE ? BURST : 1);
        int requests = (int) (perSecond * DURATION_MS / 1_000);
        Rig.note(requests + " requests of " + Deployment.MAX_BODY_BYTES + " bytes, " + perSecond
                + " a second, each sent within " + UPLOAD_MS + " ms");
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        long beginMs = Rig.nowMs();
        for (int number = 0; number < requests; number++) {
            String attempt = "plan-" + number;
            Rig.sleepUntil(beginMs + (long) (number * 1_000 / perSecond));
            clients.add(Rig.start(attempt, () -> {
                try {
                    int status = sendPlan(gateway.callers, attempt);
                    answered.incrementAndGet();
                    Rig.note(attempt + " status " + status);
                } catch (IOException failure) {
                    closed.incrementAndGet();
                    Rig.note(attempt + " no answer: " + failure.getMessage());
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        int run = engines.stream().mapToInt(engine -> engine.arrivals().size()).sum();
        int unanswered = closed.get();
        Rig.note(requests + " requests, " + answered.get() + " answered, " + unanswered + " without an answer "
                + SLACK_MS + " ms after the route's timeout, " + run + " run by engines");

        Rig.sleepUntil(Rig.nowMs() + QUIET_MS);
        AtomicInteger late = new AtomicInteger();
        List<Thread> lookups = new ArrayList<>();
        for (int number = 0; number < LOOKUPS; number++) {
            String attempt = "lookup-" + number;
            lookups.add(Rig.start(attempt, () -> {
                Rig.Message answer = gateway.send(
                        "GET",
                        "/lookup/1",
                        Deployment.headers(attempt, Deployment.KEY),
                        new byte[0],
                        Deployment.LOOKUP_TIMEOUT_MS + SLACK_MS);
                if (answer == null) {
                    late.incrementAndGet();
                }
            }));
        }
        for (Thread lookup : lookups) {
            lookup.join();
        }
        Rig.Message ready =
                Rig.send(gateway.readiness, "GET", "/readiness", List.of("Host: ready"), new byte[0], 2_000);
        Rig.note(QUIET_MS / 1_000 + " s later: process " + (gateway.alive() ? "runs" : "has ended") + ", readiness "
                + (ready == null ? "without an answer" : "status " + ready.status()) + ", lookups without an answer: "
                + late.get() + " of " + LOOKUPS);
        return !isBroken(unanswered, requests) && !isBroken(late.get(), LOOKUPS);
    }

    private static boolean isBroken(int unanswered, int requests) {
        return unanswered >= 8 && unanswered * 4 > requests;
    }

    /**
     * Sends a request at an even pace; fails if there is no answer half a second after the route's timeout, which is
     * counted from the time at which the last byte is due.
     */
    private static int sendPlan(int port, String attempt) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Rig.LOOPBACK, port), 1_000);
            long startMs = Rig.nowMs();
            Rig.start("limit", () -> {
                Rig.sleepUntil(startMs + UPLOAD_MS + Deployment.PLAN_TIMEOUT_MS + SLACK_MS);
                socket.close();
            });
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder("POST /plan/" + attempt + " HTTP/1.1\r\n");
            Deployment.headers(attempt, Deployment.KEY, Deployment.PLAN_TIMEOUT_MS)
                    .forEach(header -> head.append(header).append("\r\n"));
            head.append("Content-Length: " + Deployment.MAX_BODY_BYTES + "\r\n\r\n");
            out.write(head.toString().getBytes());
            int steps = UPLOAD_MS / STEP_MS;
            for (int step = 0, sent = 0; step < steps; step++) {
                int end = (int) ((long) Deployment.MAX_BODY_BYTES * (step + 1) / steps);
                out.write(new byte[end - sent]);
                sent = end;
                Rig.sleepUntil(startMs + (step + 1L) * STEP_MS);
            }
            Rig.Message answer = Rig.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) {
                throw new IOException("connection closed");
            }
            return answer.status();
        }
    }
}
