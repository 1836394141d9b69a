package org.pimentovale.standin.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * An endpoint in the place of an engine or a service, which can answer in every wrong way.
 *
 * <p>It speaks on plain sockets, since wrong answers are no HTTP. Thread safe; its lock is a leaf.
 */
public final class FleetEndpointStandIn {
    private final Vertx vertx;
    private final String identifier;
    private final boolean resetsOnClose;
    private final Deque<EndpointBehaviour> scriptedBehaviours = new ArrayDeque<>();
    private final List<ReceivedRequest> receivedRequests = new ArrayList<>();
    private final CompletableFuture<Void> firstDisconnect = new CompletableFuture<>();
    private EndpointBehaviour defaultBehaviour = EndpointBehaviour.RESPOND;
    private NetServer server;
    private Optional<String> crashText = Optional.empty();

    /**
     * A request that arrived.
     *
     * @param requestLine the request line
     * @param headers the headers, by names in lower case
     * @param body the body
     */
    public record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {}

    /**
     * Creates an endpoint.
     *
     * @param vertx runs it
     * @param identifier its identifier
     * @param resetsOnClose whether it ends connections by a reset
     */
    public FleetEndpointStandIn(Vertx vertx, String identifier, boolean resetsOnClose) {
        this.vertx = vertx;
        this.identifier = identifier;
        this.resetsOnClose = resetsOnClose;
    }

    /**
     * Opens the endpoint.
     *
     * @return its port
     */
    public Future<Integer> start() {
        NetServerOptions options = new NetServerOptions().setHost("127.0.0.1").setPort(0);
        if (resetsOnClose) {
            options.setSoLinger(0);
        }
        server = vertx.createNetServer(options).connectHandler(this::handleConnection);
        return server.listen().map(NetServer::actualPort);
    }

    /**
     * Sets what the endpoint does next.
     *
     * @param next what it does with the next requests, one each
     */
    public synchronized void enqueueBehaviours(EndpointBehaviour... next) {
        scriptedBehaviours.addAll(List.of(next));
    }

    /**
     * Sets what the endpoint does with requests that the script does not cover.
     *
     * @param behaviour what it does
     */
    public synchronized void setDefaultBehaviour(EndpointBehaviour behaviour) {
        defaultBehaviour = behaviour;
    }

    /**
     * Lets requests crash the endpoint: it closes its listener and all connections, and does not come back.
     *
     * @param text what the body of such a request holds
     */
    public synchronized void crashOnBodyText(String text) {
        crashText = Optional.of(text);
    }

    /**
     * Returns the requests that arrived.
     *
     * @return the requests in their order, calls for pieces included
     */
    public synchronized List<ReceivedRequest> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /**
     * Returns what completes when a connection is closed by the other side for the first time.
     *
     * @return the future
     */
    public CompletableFuture<Void> firstDisconnect() {
        return firstDisconnect;
    }

    /**
     * Returns the endpoint's entry in the store.
     *
     * @param service its service
     * @param port its port
     * @return the entry
     */
    public JsonObject storeEntry(String service, int port) {
        return new JsonObject()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", "north")
                .put("version", "v1")
                .put("slots", 6)
                .put("state", "ready")
                .put("coldLeftMs", 0)
                .put("seq", 1);
    }

    private void handleConnection(NetSocket socket) {
        Buffer received = Buffer.buffer();
        socket.closeHandler(closed -> firstDisconnect.complete(null));
        socket.handler(chunk -> {
            received.appendBuffer(chunk);
            handleIfComplete(received.toString(StandardCharsets.ISO_8859_1), socket);
        });
    }

    private void handleIfComplete(String text, NetSocket socket) {
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return;
        }
        List<String> lines = text.substring(0, headEnd).lines().toList();
        Map<String, String> headers = new TreeMap<>();
        lines.stream().skip(1).forEach(line -> {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        });
        String body = text.substring(headEnd + 4);
        if (body.length() >= Integer.parseInt(headers.getOrDefault("content-length", "0"))) {
            handleRequest(new ReceivedRequest(lines.get(0), headers, body), socket);
        }
    }

    private synchronized void handleRequest(ReceivedRequest request, NetSocket socket) {
        receivedRequests.add(request);
        if (!identifier.equals(request.headers().get("x-expect-instance"))) {
            socket.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + identifier
                    + "\r\nContent-Length: 0\r\n\r\n");
        } else if (crashText.filter(request.body()::contains).isPresent()) {
            server.close().onComplete(closed -> socket.close());
        } else if (request.requestLine().startsWith("POST /stage-run") && scriptedBehaviours.isEmpty()) {
            runPieces(request, socket);
        } else if (request.requestLine().startsWith("POST /stage-free")) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } else {
            EndpointBehaviour next = scriptedBehaviours.isEmpty() ? defaultBehaviour : scriptedBehaviours.pollFirst();
            next.respond(socket, request.headers().get("x-attempt-id"));
        }
    }

    private void runPieces(ReceivedRequest request, NetSocket socket) {
        JsonArray results = new JsonArray();
        for (Object item : new JsonObject(request.body()).getJsonArray("items")) {
            JsonObject piece = (JsonObject) item;
            String handle = socket.localAddress().hostAddress() + ":"
                    + socket.localAddress().port() + "/" + piece.getString("id") + "-" + piece.getInteger("stage") + "-"
                    + piece.getInteger("piece");
            results.add(new JsonObject().put("handle", handle));
        }
        String body = new JsonObject().put("items", results).encode();
        socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }
}
