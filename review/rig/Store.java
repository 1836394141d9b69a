import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * The platform's store: objects by kind and name, lists in pages, watches. Each gateway has an address of its own, so
 * that the store can leave some gateways without an answer while it serves the others.
 */
final class Store {
    private static final int ANSWER_MS = 4;
    private static final int HISTORY_MS = 20_000;

    private final int pageSize;
    private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;
    private long forgotten;
    private volatile BiConsumer<String, String> pageListener = (kind, lastName) -> {};

    private record Entry(long revision, long created, String spec) {}

    private record Change(long revision, String kind, String name, Entry entry, boolean deleted, long atMs) {
        private Change(long revision, String kind, String name, Entry entry, boolean deleted) {
            this(revision, kind, name, entry, deleted, Rig.nowMs());
        }
    }

    Store(int pageSize) {
        this.pageSize = pageSize;
    }

    /** One address of the store. */
    final class Access {
        final int port;
        private volatile boolean silent;
        private volatile long configurationWatchMs;

        private Access(ServerSocket server) {
            this.port = server.getLocalPort();
            Rig.start("store", () -> {
                while (true) {
                    Socket socket = server.accept();
                    Rig.start("store", () -> serve(socket));
                }
            });
        }

        /** Leaves every call without an answer, those in progress too, until it is called with false. */
        void setSilent(boolean newSilent) {
            silent = newSilent;
        }

        /** Returns when the latest watch of the configuration was received. */
        long configurationWatchMs() {
            return configurationWatchMs;
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Rig.Message call = Rig.read(in, false); call != null; call = Rig.read(in, false)) {
                if (call.first()[1].contains("/config") && call.first()[1].contains("watch=")) {
                    configurationWatchMs = Rig.nowMs();
                }
                Thread.sleep(ANSWER_MS);
                boolean lost = silent;
                Answer answer = lost ? null : answer(call, this);
                if (lost || silent || answer == null) {
                    // A connection on which a response is lost returns nothing further.
                    while (in.read() >= 0) {}
                    return;
                }
                OutputStream out = socket.getOutputStream();
                Rig.write(
                        out,
                        "HTTP/1.1 " + answer.status() + " x",
                        List.of("Content-Type: application/json"),
                        answer.body().getBytes(StandardCharsets.UTF_8));
                answer.sent().run();
            }
        }
    }

    private record Answer(int status, String body, Runnable sent) {
        private Answer(int status, String body) {
            this(status, body, () -> {});
        }
    }

    /** Opens a further address. */
    Access open() throws IOException {
        return new Access(Rig.listen());
    }

    /** Sets what is called after a page that is not the last one has been sent, with its kind and its last name. */
    void onPage(BiConsumer<String, String> listener) {
        pageListener = listener;
    }

    synchronized long put(String kind, String name, String spec) {
        revision++;
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
        Entry before = objects.get(name);
        Entry entry = new Entry(revision, before == null ? revision : before.created(), spec);
        objects.put(name, entry);
        history.add(new Change(revision, kind, name, entry, false));
        notifyAll();
        return revision;
    }

    synchronized boolean delete(String kind, String name) {
        Entry entry = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (entry == null) {
            return false;
        }
        revision++;
        history.add(new Change(revision, kind, name, entry, true));
        notifyAll();
        return true;
    }

    private synchronized Answer answer(Rig.Message call, Access access) throws InterruptedException {
        String target = call.first()[1];
        int mark = target.indexOf('?');
        String[] path = (mark < 0 ? target : target.substring(0, mark)).split("/");
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        String kind = path[2];
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
        switch (call.first()[0]) {
            case "GET":
                if (path.length > 3) {
                    Entry entry = objects.get(path[3]);
                    return entry == null ? new Answer(404, "{}") : new Answer(200, json(path[3], entry));
                }
                return query.containsKey("watch")
                        ? watch(kind, query, access)
                        : list(kind, query.getOrDefault("after", ""));
            case "POST":
                String name = text(call.text(), "name");
                if (objects.containsKey(name)) {
                    return new Answer(409, json(name, objects.get(name)));
                }
                put(kind, name, spec(call.text()));
                return new Answer(201, json(name, objects.get(name)));
            case "PUT":
                if (!objects.containsKey(path[3])) {
                    return new Answer(404, "{}");
                }
                if (!objects.get(path[3]).spec().equals(spec(call.text()))) {
                    put(kind, path[3], spec(call.text()));
                }
                return new Answer(200, json(path[3], objects.get(path[3])));
            default:
                return new Answer(delete(kind, path[3]) ? 200 : 404, "{}");
        }
    }

    private Answer list(String kind, String after) {
        List<String> items = new ArrayList<>();
        Map<String, Entry> rest = kinds.get(kind).tailMap(after, after.isEmpty());
        String last = "";
        for (Map.Entry<String, Entry> object : rest.entrySet()) {
            if (items.size() == pageSize) {
                break;
            }
            last = object.getKey();
            items.add(json(last, object.getValue()));
        }
        boolean more = rest.size() > items.size();
        String lastName = last;
        return new Answer(
                200,
                "{\"items\":[" + String.join(",", items) + "],\"hasMore\":" + more + ",\"currentRev\":" + revision
                        + "}",
                () -> {
                    if (more) {
                        pageListener.accept(kind, lastName);
                    }
                });
    }

    private Answer watch(String kind, Map<String, String> query, Access access) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long endMs = Rig.nowMs() + Long.parseLong(query.get("waitMs"));
        while (true) {
            while (!history.isEmpty() && Rig.nowMs() - history.get(0).atMs() > HISTORY_MS) {
                forgotten = history.remove(0).revision();
            }
            if (since < forgotten) {
                return new Answer(410, "{}");
            }
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > since && change.kind().equals(kind)) {
                    events.add("{\"deleted\":" + change.deleted() + ",\"object\":" + json(change.name(), change.entry())
                            + "}");
                }
            }
            if (access.silent) {
                return null;
            }
            long leftMs = endMs - Rig.nowMs();
            if (!events.isEmpty() || leftMs <= 0) {
                return new Answer(
                        200, "{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + revision + "}");
            }
            wait(leftMs);
        }
    }

    private static String json(String name, Entry entry) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + entry.revision() + ",\"createRevision\":"
                + entry.created() + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + entry.spec()
                + ",\"status\":null}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new TreeMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return values;
    }

    private static String text(String json, String field) {
        int start = json.indexOf('"' + field + "\":\"") + field.length() + 4;
        return json.substring(start, json.indexOf('"', start));
    }

    /** Returns the value of {@code spec}, which is the last field of what the gateways write. */
    private static String spec(String json) {
        int start = json.indexOf("\"spec\":") + 7;
        return json.substring(start, json.lastIndexOf('}'));
    }
}
