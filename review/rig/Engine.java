import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An engine of a service that answers every request that is meant for it, and registers itself in the store. */
final class Engine {
    static final int HEARTBEAT_MS = 1_200;

    final String id;
    private final String service;
    private final Store store;
    private final int workMs;
    private final long born = System.currentTimeMillis();
    private final ServerSocket server = Rig.listen();
    private final List<Arrival> arrivals = new ArrayList<>();
    private long sequence;
    private volatile boolean listed = true;
    private String state = "ready";

    /** A request that was run. */
    record Arrival(long atMs, String attempt, String target, int bodyBytes) {}

    Engine(String id, String service, Store store, int workMs) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.workMs = workMs;
        Rig.start(id, () -> {
            while (true) {
                Socket socket = server.accept();
                Rig.start(id, () -> serve(socket));
            }
        });
        Rig.start(id, () -> {
            while (true) {
                beat();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    private synchronized void beat() {
        if (listed) {
            sequence++;
            store.put(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + Rig.LOOPBACK + ":" + server.getLocalPort()
                            + "\",\"zone\":\"levis\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\","
                            + "\"coldLeftMs\":0,\"seq\":" + sequence + ",\"born\":" + born + "}");
        }
    }

    /** Reports the state "draining" and serves on. Returns when the store had accepted that. */
    synchronized long drain() {
        state = "draining";
        beat();
        return Rig.nowMs();
    }

    /** Removes the entry without the state "draining"; the engine serves on. Returns when the store had done that. */
    synchronized long leave() {
        listed = false;
        store.delete("servers", id);
        return Rig.nowMs();
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (Rig.Message request = Rig.read(in, false); request != null; request = Rig.read(in, false)) {
            OutputStream out = socket.getOutputStream();
            if (!id.equals(request.header("X-Expect-Instance"))) {
                Rig.write(out, "HTTP/1.1 421 Misdirected Request", List.of("X-Instance-Id: " + id), new byte[0]);
                continue;
            }
            String attempt = request.header("X-Attempt-Id");
            synchronized (this) {
                arrivals.add(new Arrival(Rig.nowMs(), attempt, request.first()[1], request.body().length));
            }
            Thread.sleep(workMs);
            Rig.write(
                    out,
                    "HTTP/1.1 200 OK",
                    List.of("X-Attempt-Id: " + attempt, "X-Server-Stamp: " + id + "." + attempt),
                    ("done by " + id).getBytes(StandardCharsets.UTF_8));
        }
    }
}
