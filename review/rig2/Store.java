import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store. Argument: its port. Ends with its parent's standard input. */
public final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1 << 20;

    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<String, String> unreadable = new HashMap<>();
    private long revision = 1;

    public static void main(String[] arguments) throws Exception {
        Store store = new Store();
        HttpServer server = HttpServer.create(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[0])), 256);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/objects/", store::handle);
        server.start();
        while (System.in.read() >= 0) {
            // Waits for the end of the parent.
        }
        System.exit(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Answer answer;
        try {
            answer = answer(exchange, body);
        } catch (InterruptedException interrupted) {
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        byte[] bytes = answer.body == null ? new byte[0] : encode(answer.body);
        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    private record Answer(int status, JsonNode body) {}

    /** Encodes an answer, with the bytes of unreadable contents as another writer left them. */
    private synchronized byte[] encode(JsonNode body) throws IOException {
        String text = JSON.writeValueAsString(body);
        for (Map.Entry<String, String> raw : unreadable.entrySet()) {
            text = text.replace('"' + raw.getKey() + '"', raw.getValue());
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Stores an object whose content is bytes that are no JSON. */
    private synchronized Answer writeUnreadable(String kind, String name, byte[] content) {
        String placeholder = "unreadable-content-of-" + name;
        unreadable.put(placeholder, new String(content, StandardCharsets.UTF_8));
        ObjectNode sent = JSON.createObjectNode();
        sent.withObject("/metadata").put("name", name);
        sent.put("spec", placeholder);
        return write("POST", kind, new String[] {"", "objects", kind}, sent, Map.of());
    }

    private Answer answer(HttpExchange exchange, byte[] body) throws IOException, InterruptedException {
        String[] path = exchange.getRequestURI().getPath().split("/");
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String kind = path[2];
        String method = exchange.getRequestMethod();
        if (method.equals("GET") && path.length > 3) {
            synchronized (this) {
                ObjectNode object = objects(kind).get(path[3]);
                return object == null ? new Answer(404, null) : new Answer(200, object);
            }
        }
        if (method.equals("GET")) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind, query.getOrDefault("after", ""));
        }
        if (method.equals("POST") && query.containsKey("unreadable")) {
            return writeUnreadable(kind, query.get("unreadable"), body);
        }
        JsonNode sent = body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
        return write(method, kind, path, sent, query);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private synchronized Answer list(String kind, String after) {
        ArrayNode items = JSON.createArrayNode();
        Map<String, ObjectNode> rest = objects(kind).tailMap(after, false);
        int bytes = 0;
        for (ObjectNode object : rest.values()) {
            bytes += object.toString().length();
            if (!items.isEmpty() && (items.size() == PAGE_OBJECTS || bytes > PAGE_BYTES)) {
                break;
            }
            items.add(object);
        }
        ObjectNode page = JSON.createObjectNode();
        page.set("items", items);
        page.put("hasMore", rest.size() > items.size());
        page.put("currentRev", revision);
        return new Answer(200, page);
    }

    private synchronized Answer watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            ArrayNode events = JSON.createArrayNode();
            long known = revision;
            int bytes = 0;
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    bytes += event.object.toString().length();
                    if (!events.isEmpty() && (events.size() == PAGE_OBJECTS || bytes > PAGE_BYTES)) {
                        break;
                    }
                    ObjectNode node = events.addObject();
                    node.set("object", event.object);
                    node.put("deleted", event.deleted);
                    known = event.revision;
                }
            }
            known = bytes > PAGE_BYTES || events.size() == PAGE_OBJECTS ? known : revision;
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                ObjectNode changes = JSON.createObjectNode();
                changes.set("events", events);
                changes.put("currentRev", known);
                return new Answer(200, changes);
            }
            wait(leftMs);
        }
    }

    private synchronized Answer write(
            String method, String kind, String[] path, JsonNode sent, Map<String, String> query) {
        String name = path.length > 3 ? path[3] : sent.path("metadata").path("name").asText();
        ObjectNode current = objects(kind).get(name);
        if (method.equals("POST") ? current != null : false) {
            return new Answer(409, current);
        }
        if (!method.equals("POST") && current == null) {
            return new Answer(404, null);
        }
        JsonNode condition = sent.path("metadata").path("revision");
        String wanted = condition.isMissingNode() ? query.get("revision") : condition.asText();
        if (wanted != null && current != null && !wanted.equals(current.path("metadata").path("revision").asText())) {
            return new Answer(409, current);
        }
        if (method.equals("DELETE")) {
            objects(kind).remove(name);
            record(new Event(++revision, kind, current, true));
            return new Answer(200, null);
        }
        boolean status = path.length > 4;
        String field = status ? "status" : "spec";
        if (current != null && sent.path(field).equals(current.path(field))) {
            return new Answer(200, current);
        }
        ObjectNode object = current == null ? JSON.createObjectNode() : current.deepCopy();
        revision++;
        ObjectNode metadata = object.withObject("/metadata");
        metadata.put("name", name).put("revision", revision);
        if (current == null) {
            metadata.put("createRevision", revision);
        }
        object.set(field, sent.path(field));
        objects(kind).put(name, object);
        record(new Event(revision, kind, object, false));
        return new Answer(method.equals("POST") ? 201 : 200, object);
    }

    private void record(Event event) {
        history.add(event);
        notifyAll();
    }
}
