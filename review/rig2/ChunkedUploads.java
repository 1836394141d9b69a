import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Many clients upload large bodies in chunks at once. Clients of other requests, which are small, use the same gateway.
 * Argument: the record's file.
 */
public final class ChunkedUploads {
    /** Longer than the 3 s after its start for which a machine isn't in touch. */
    private static final int STABLE_MS = 5_000;

    private static final int USUAL_CLIENTS = 16;
    private static final double BURST = 2.5;
    private static final int BODY_BYTES = 4_000_000;
    private static final int CHUNK_BYTES = 16_000;
    private static final int CHUNK_PAUSE_MS = 20;
    private static final int ROUTE_TIMEOUT_MS = 10_000;
    private static final int RULE_SLACK_MS = 500;
    private static final int SMALL_REQUESTS = 12;
    private static final int SMALL_TIMEOUT_MS = 3_000;
    private static final int RULE_COUNT = 8;

    private ChunkedUploads() {}

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

    /** What became of one request: its status, 0 if there was no answer in time, -1 if the connection ended. */
    private record Outcome(String attempt, int status) {}

    private static int run(Rig rig) throws Exception {
        Deployment deployment = new Deployment(rig);
        deployment.configure(Deployment.configuration(
                Deployment.route("invio", "/upload/", "non_idempotent", "banchi", ROUTE_TIMEOUT_MS, 1) + ","
                        + Deployment.route("prenota-banco", "/book/", "non_idempotent", "banchi", SMALL_TIMEOUT_MS, 1),
                "banchi"));
        for (int number = 1; number <= 3; number++) {
            deployment.engine("i-banchi-" + number, "banchi", "zona-lago", 24, "1", "20", "800", "framed");
        }
        deployment.startHeartbeats();
        deployment.gateway("front-zona-lago-1");
        int port = deployment.fronts.get(0);
        Thread.sleep(STABLE_MS);
        int uploads = rig.trouble ? (int) (USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        rig.note("gateway ready for " + STABLE_MS + " ms; " + uploads + " clients upload " + BODY_BYTES + " bytes each in chunks of " + CHUNK_BYTES
                + " bytes, one each " + CHUNK_PAUSE_MS + " ms");
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Outcome>> large = new ArrayList<>();
        for (int number = 0; number < uploads; number++) {
            large.add(clients.submit(upload(rig, port, "large-" + number)));
        }
        Thread.sleep(4_000);
        List<Future<Outcome>> beside = small(rig, clients, port, "beside");
        int largeLost = unanswered(large);
        int besideLost = unanswered(beside);
        rig.note("the clients of the uploads have left");
        Thread.sleep(5_000);
        int afterLost = unanswered(small(rig, clients, port, "after"));
        Thread.sleep(5_000);
        int laterLost = unanswered(small(rig, clients, port, "later"));
        rig.note("gateway process alive: " + deployment.gateways.get(0).isAlive() + "; lines 'Unhandled exception' in its log: "
                + rig.logLines("Unhandled exception").size() + "; runs at engines: " + rig.logLines("run ").size());
        rig.logLines("java.lang.OutOfMemoryError").stream().distinct().limit(3).forEach(line -> rig.note("gateway: " + line));
        rig.note("no final answer: " + largeLost + " of " + uploads + " uploads " + ROUTE_TIMEOUT_MS + " + " + RULE_SLACK_MS
                + " ms after the last byte could be sent; small requests " + SMALL_TIMEOUT_MS + " + " + RULE_SLACK_MS
                + " ms after they were sent: " + besideLost + " of " + SMALL_REQUESTS + " beside the uploads, " + afterLost
                + " of " + SMALL_REQUESTS + " 5 s after them, " + laterLost + " of " + SMALL_REQUESTS + " 5 s later");
        clients.shutdownNow();
        return breaks(largeLost, uploads) || breaks(besideLost, SMALL_REQUESTS) || breaks(afterLost, SMALL_REQUESTS)
                ? Rig.BROKEN
                : Rig.HELD;
    }

    /** CONFIG: eight or more, and over a quarter, have no final answer half a second after the route's timeout. */
    private static boolean breaks(int lost, int all) {
        return lost >= RULE_COUNT && 4 * lost > all;
    }

    private static int unanswered(List<Future<Outcome>> requests) throws Exception {
        int count = 0;
        for (Future<Outcome> request : requests) {
            count += request.get().status() == 0 ? 1 : 0;
        }
        return count;
    }

    private static List<Future<Outcome>> small(Rig rig, ExecutorService clients, int port, String name) {
        List<Future<Outcome>> requests = new ArrayList<>();
        for (int number = 0; number < SMALL_REQUESTS; number++) {
            String attempt = name + "-" + number;
            requests.add(clients.submit(() -> {
                try (Socket socket = connect(port)) {
                    socket.getOutputStream().write(("POST /book/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: "
                            + attempt + "\r\nX-Deadline-Ms: " + SMALL_TIMEOUT_MS + "\r\nContent-Length: 2\r\n\r\nok")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    return outcome(rig, attempt, socket, SMALL_TIMEOUT_MS + RULE_SLACK_MS);
                }
            }));
        }
        return requests;
    }

    private static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        return socket;
    }

    /**
     * Uploads a body, and reads the answer after the last byte as many clients do. Gives up when the rule's bound is
     * over, counted from the time at which the last byte is due, also if the gateway does not read the body.
     */
    private static Callable<Outcome> upload(Rig rig, int port, String attempt) {
        return () -> {
            int chunks = BODY_BYTES / CHUNK_BYTES;
            long endNanos = System.nanoTime()
                    + (2L * chunks * CHUNK_PAUSE_MS + ROUTE_TIMEOUT_MS + RULE_SLACK_MS) * 1_000_000;
            try (Socket socket = connect(port)) {
                Thread writer = new Thread(() -> write(socket, attempt, chunks));
                writer.setDaemon(true);
                writer.start();
                writer.join((endNanos - System.nanoTime()) / 1_000_000);
                return outcome(rig, attempt, socket, (int) Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            }
        };
    }

    private static void write(Socket socket, String attempt, int chunks) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write(("POST /upload/1 HTTP/1.1\r\nHost: show.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: "
                    + ROUTE_TIMEOUT_MS + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            byte[] chunk = ("x".repeat(CHUNK_BYTES)).getBytes(StandardCharsets.ISO_8859_1);
            for (int number = 0; number < chunks; number++) {
                out.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(chunk);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(CHUNK_PAUSE_MS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException | InterruptedException ended) {
            // The client has left, or the gateway has closed the connection.
        }
    }

    private static Outcome outcome(Rig rig, String attempt, Socket socket, int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Outcome outcome;
        try {
            Rig.Answer answer = Rig.read(socket);
            outcome = new Outcome(attempt, answer.status);
        } catch (SocketTimeoutException silent) {
            outcome = new Outcome(attempt, 0);
        } catch (IOException ended) {
            outcome = new Outcome(attempt, -1);
        }
        rig.note("client " + attempt + ": "
                + (outcome.status() == 0 ? "no answer" : outcome.status() < 0 ? "connection ended" : "status " + outcome.status()));
        return outcome;
    }
}
