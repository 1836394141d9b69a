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
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for an engine or a service endpoint that can send faulty and malformed responses.
 *
 * <p>It uses plain sockets, since an HTTP server cannot send malformed responses. Thread safe; it takes no
 * other lock while it holds its own.
 */
public final class FleetEndpointStandIn {
    private static final String REQUEST_LIMIT = "Server-Limit";

    private final Vertx vertx;
    private final String identifier;
    private final boolean resetsOnClose;
    private final Deque<EndpointBehaviour> scriptedBehaviours = new ArrayDeque<>();
    private final List<ReceivedRequest> receivedRequests = new ArrayList<>();
    private final Map<String, String> responseHeaders = new TreeMap<>();
    private Optional<String> rejection = Optional.empty();
    private final AtomicLong endlessBytes = new AtomicLong();
    private Optional<EndlessResponse> endlessResponse = Optional.empty();
    private Optional<String> finalBytes = Optional.empty();
    private boolean streamsForPathDuration;
    private int failedPieceInterval = Integer.MAX_VALUE;
    private int runPieces;
    private int responseDelayMs;
    private OptionalInt trickleIntervalMs = OptionalInt.empty();
    private final Set<NetSocket> connections = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Void> firstDisconnect = new CompletableFuture<>();
    private EndpointBehaviour defaultBehaviour = EndpointBehaviour.RESPOND;
    private NetServer server;
    private String build = "v1";
    private Optional<BuildRun> buildRun = Optional.empty();
    private Optional<String> crashText = Optional.empty();
    private Optional<String> crashPromptPart = Optional.empty();

    /**
     * A request as received.
     *
     * @param requestLine the HTTP request line, with method, target and version
     * @param headers the header values by header name in lower case
     * @param body the body, decoded as ISO 8859-1
     */
    public record ReceivedRequest(String requestLine, Map<String, String> headers, String body) {}

    private record EndlessResponse(String prefix, String repeated) {}

    /**
     * Creates an endpoint stand-in.
     *
     * @param vertx the Vert.x instance that runs the server
     * @param identifier the instance identifier; requests that expect another one are answered with status 421
     * @param resetsOnClose whether connections are closed with a TCP reset
     */
    public FleetEndpointStandIn(Vertx vertx, String identifier, boolean resetsOnClose) {
        this.vertx = vertx;
        this.identifier = identifier;
        this.resetsOnClose = resetsOnClose;
    }

    /**
     * Starts the server on an ephemeral port.
     *
     * @return the TCP port, once the server listens
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
     * Appends behaviours for the next requests.
     *
     * @param next the behaviours, one for each request, in this order
     */
    public synchronized void enqueueBehaviours(EndpointBehaviour... next) {
        scriptedBehaviours.addAll(List.of(next));
    }

    /**
     * Sets the behaviour for requests without an enqueued behaviour.
     *
     * @param behaviour the default behaviour, initially {@link EndpointBehaviour#RESPOND}
     */
    public synchronized void setDefaultBehaviour(EndpointBehaviour behaviour) {
        defaultBehaviour = behaviour;
    }

    /**
     * Delays the responses to later requests that have an enqueued or the default behaviour.
     *
     * @param delayMs the delay in milliseconds, zero for none
     */
    public synchronized void setResponseDelay(int delayMs) {
        responseDelayMs = delayMs;
    }

    /**
     * Makes the endpoint run a build, which its later entries name and which answers all requests.
     *
     * @param name the name of the build
     * @param fault the fault of the build
     * @param serviceMs how long a request takes where no fault applies, in milliseconds
     * @return the run, which counts the requests
     */
    public synchronized BuildRun runBuild(String name, BuildFault fault, int serviceMs) {
        build = name;
        BuildRun run = new BuildRun(vertx, fault, serviceMs);
        buildRun = Optional.of(run);
        return run;
    }

    /** Closes the listener and all connections, as a crash does. */
    public void crash() {
        server.close().onComplete(closed -> List.copyOf(connections).forEach(NetSocket::close));
    }

    /**
     * Makes the endpoint crash on matching requests: it closes its listener and all connections, and does not restart.
     *
     * @param text the text that the body of a matching request contains
     */
    public synchronized void crashOnBodyText(String text) {
        crashText = Optional.of(text);
    }

    /**
     * Makes the endpoint crash on requests whose prompt contains a part, after the head of the response: it closes its
     * listener and all connections, and does not restart.
     *
     * @param part the identifier of the prompt part
     */
    public synchronized void crashOnPromptPart(String part) {
        crashPromptPart = Optional.of(part);
    }

    /**
     * Makes the endpoint respond to each request with bytes that do not end until the connection is closed.
     *
     * @param prefix sent once, with {@code %s} in the place of the attempt's identifier
     * @param repeated sent again and again after the prefix
     */
    public synchronized void respondEndlessly(String prefix, String repeated) {
        endlessResponse = Optional.of(new EndlessResponse(prefix, repeated));
    }

    /**
     * Makes the endpoint respond to each request with some bytes, after which it closes the connection.
     *
     * @param bytes what is sent, with {@code %s} in the place of the attempt's identifier
     */
    public synchronized void respondAndClose(String bytes) {
        finalBytes = Optional.of(bytes);
    }

    /**
     * Makes the endpoint answer each request with a stream of events. Its duration in milliseconds is the last segment
     * of the request's path. Whatever is set, a path with {@code /delay/N} is answered with a complete response after
     * N milliseconds.
     */
    public synchronized void streamForPathDuration() {
        streamsForPathDuration = true;
    }

    /**
     * Makes the endpoint stream one event for each request and then a byte of a comment now and then, without an end.
     *
     * @param intervalMs the time between two bytes, in milliseconds
     */
    public synchronized void trickleAfterOneEvent(int intervalMs) {
        trickleIntervalMs = OptionalInt.of(intervalMs);
    }

    /**
     * Makes the endpoint report some pieces as failed.
     *
     * @param interval the number of pieces of which one fails
     */
    public synchronized void failPieces(int interval) {
        failedPieceInterval = interval;
    }

    /**
     * Returns how much of endless responses has been accepted by the connections so far.
     *
     * @return the number of bytes
     */
    public long endlessBytes() {
        return endlessBytes.get();
    }

    /**
     * Makes the endpoint name a rate limit in its responses; it does not enforce the limit.
     *
     * @param requestsPerSecond the limit over all callers
     */
    public synchronized void setRequestLimit(double requestsPerSecond) {
        responseHeaders.put(REQUEST_LIMIT, Double.toString(requestsPerSecond));
    }

    /** Makes the endpoint name no rate limit any more. */
    public synchronized void clearRequestLimit() {
        responseHeaders.remove(REQUEST_LIMIT);
    }

    /**
     * Adds a header to all responses except those of status 421.
     *
     * @param name the header's name
     * @param value the header's value
     */
    public synchronized void setResponseHeader(String name, String value) {
        responseHeaders.put(name, value);
    }

    /**
     * Makes the endpoint reject all requests with a status, stating that it has not run them.
     *
     * @param status the status and its reason phrase
     */
    public synchronized void rejectAll(String status) {
        rejection = Optional.of(status);
    }

    /** Makes the endpoint take requests again, and removes the headers that were added to its responses. */
    public synchronized void takeRequestsAgain() {
        rejection = Optional.empty();
        responseHeaders.clear();
    }

    /**
     * Returns the requests received so far.
     *
     * @return the requests in order of arrival, including calls for pieces
     */
    public synchronized List<ReceivedRequest> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /**
     * Returns a future that completes when a connection is closed for the first time.
     *
     * @return the future
     */
    public CompletableFuture<Void> firstDisconnect() {
        return firstDisconnect;
    }

    /**
     * Returns the number of connections that are open.
     *
     * @return the number
     */
    public int openConnections() {
        return connections.size();
    }

    /** Closes all open connections, with responses that have not ended. */
    public void closeConnections() {
        List.copyOf(connections).forEach(NetSocket::close);
    }

    /**
     * Returns the entry of the endpoint in the store, in state ready and warm.
     *
     * @param service the name of the service that the endpoint provides
     * @param port the TCP port of the endpoint
     * @return the JSON object to store as the specification
     */
    public synchronized JsonObject storeEntry(String service, int port) {
        return new JsonObject()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", "north")
                .put("version", build)
                .put("slots", 6)
                .put("state", "ready")
                .put("coldLeftMs", 0)
                .put("seq", 1);
    }

    private void handleConnection(NetSocket socket) {
        Buffer received = Buffer.buffer();
        connections.add(socket);
        socket.closeHandler(closed -> {
            connections.remove(socket);
            firstDisconnect.complete(null);
        });
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
        } else if (rejection.isPresent()) {
            socket.write("HTTP/1.1 " + rejection.get() + "\r\nX-Not-Executed: 1\r\n" + responseHeaderLines()
                    + "Content-Length: 0\r\n\r\n");
        } else if (crashText.filter(request.body()::contains).isPresent()) {
            crash();
        } else if (crashPromptPart.filter(part -> hasPromptPart(request, part)).isPresent()) {
            socket.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.headers().get("x-attempt-id")
                    + "\r\nX-Server-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            crash();
        } else if (buildRun.isPresent()) {
            buildRun.get()
                    .serve(
                            request.requestLine().split(" ", -1)[1],
                            socket,
                            request.headers().getOrDefault("x-attempt-id", ""));
        } else if (finalBytes.isPresent()) {
            socket.write(finalBytes.get().replace("%s", request.headers().getOrDefault("x-attempt-id", "")))
                    .onComplete(written -> socket.close());
        } else if (endlessResponse.isPresent()) {
            EndlessResponse endless = endlessResponse.get();
            socket.write(endless.prefix().replace("%s", request.headers().getOrDefault("x-attempt-id", "")))
                    .onSuccess(written -> writeEndlessly(socket, Buffer.buffer(endless.repeated())));
        } else if (request.requestLine().contains("/delay/")) {
            vertx.setTimer(
                    lastPathSegment(request.requestLine()),
                    fired -> EndpointBehaviour.RESPOND.respond(
                            socket, request.headers().get("x-attempt-id")));
        } else if (trickleIntervalMs.isPresent()) {
            socket.write(EndpointBehaviour.streamHead(request.headers().getOrDefault("x-attempt-id", ""))
                    + EndpointBehaviour.chunk("id: 1\ndata: one\n\n"));
            trickle(socket, trickleIntervalMs.getAsInt());
        } else if (streamsForPathDuration) {
            new PacedStream(vertx, socket, request.headers().getOrDefault("x-attempt-id", ""))
                    .run(lastPathSegment(request.requestLine()));
        } else if (request.requestLine().startsWith("POST /stage-run") && scriptedBehaviours.isEmpty()) {
            runPieces(request, socket);
        } else if (request.requestLine().startsWith("POST /stage-free")) {
            socket.write("HTTP/1.1 200 OK\r\n" + responseHeaderLines() + "Content-Length: 0\r\n\r\n");
        } else {
            EndpointBehaviour next = scriptedBehaviours.isEmpty() ? defaultBehaviour : scriptedBehaviours.pollFirst();
            // The behaviours write the attempt's identifier as a whole header line, after which further ones may
            // follow.
            String attempt = (request.headers().get("x-attempt-id") + "\r\n" + responseHeaderLines()).stripTrailing();
            if (responseDelayMs > 0) {
                vertx.setTimer(responseDelayMs, fired -> next.respond(socket, attempt));
            } else {
                next.respond(socket, attempt);
            }
        }
    }

    private void trickle(NetSocket socket, int intervalMs) {
        vertx.setTimer(intervalMs, fired -> {
            if (connections.contains(socket)) {
                socket.write(EndpointBehaviour.chunk(":"));
                trickle(socket, intervalMs);
            }
        });
    }

    private static long lastPathSegment(String requestLine) {
        String path = requestLine.split(" ", -1)[1];
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private String responseHeaderLines() {
        StringBuilder lines = new StringBuilder();
        responseHeaders.forEach(
                (name, value) -> lines.append(name).append(": ").append(value).append("\r\n"));
        return lines.toString();
    }

    private static boolean hasPromptPart(ReceivedRequest request, String part) {
        return Arrays.stream(
                        request.headers().getOrDefault("x-prompt-prefix", "").split(",", -1))
                .anyMatch(entry -> entry.startsWith(part + ":"));
    }

    private void writeEndlessly(NetSocket socket, Buffer repeated) {
        socket.write(repeated).onSuccess(written -> {
            endlessBytes.addAndGet(repeated.length());
            writeEndlessly(socket, repeated);
        });
    }

    private void runPieces(ReceivedRequest request, NetSocket socket) {
        JsonArray results = new JsonArray();
        for (Object item : new JsonObject(request.body()).getJsonArray("items")) {
            JsonObject piece = (JsonObject) item;
            runPieces++;
            if (runPieces % failedPieceInterval == 0) {
                results.add(new JsonObject().put("reason", "error"));
                continue;
            }
            String handle = socket.localAddress().hostAddress() + ":"
                    + socket.localAddress().port() + "/" + piece.getString("id") + "-" + piece.getInteger("stage") + "-"
                    + piece.getInteger("piece");
            results.add(new JsonObject().put("handle", handle));
        }
        String body = new JsonObject().put("items", results).encode();
        socket.write("HTTP/1.1 200 OK\r\n" + responseHeaderLines()
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
