package org.pimentovale.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Stand-in for a model engine or a plain service, with fault injection for tests.
 *
 * <p>Each run of a call is recorded before its response is sent. An endpoint that exceeds its cold limit, or receives a
 * request that contains the crash marker, closes all connections and restarts cold as a new incarnation. Not thread
 * safe; used on one event loop.
 */
public final class EndpointStandIn extends VerticleBase {
    private static final String CRASH_MARKER = "crash-marker";
    private static final int RESTART_DELAY_MS = 150;

    private final int configuredPort;
    private final EndpointProfile profile;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<HttpConnection> unresponsiveConnections = new HashSet<>();
    private final Deque<Runnable> queuedRuns = new ArrayDeque<>();
    private final JsonArray runs = new JsonArray();
    private final HoldPoint holdPoint = new HoldPoint();
    private JsonObject faults = new JsonObject();
    private HttpServer server;
    private int port;
    private int startCount;
    private int inFlight;
    private int reportedInFlight;
    private int completedSinceStart;
    private int maxColdInFlight;
    private int coldOverloadCount;
    private int crashCount;
    private int cancelledCount;
    private int staleTokenCount;
    private long highestFencingToken;
    private long receivedCount;
    private double totalWorkMs;

    /**
     * Creates an endpoint stand-in.
     *
     * @param port the TCP port, zero for an ephemeral port
     * @param profile capacity and latency of the endpoint
     */
    public EndpointStandIn(int port, EndpointProfile profile) {
        this.configuredPort = port;
        this.profile = profile;
        this.port = port;
    }

    @Override
    public Future<?> start() {
        port = configuredPort;
        if (profile.reportLagMs() > 0) {
            vertx.setPeriodic(profile.reportLagMs(), fired -> reportedInFlight = inFlight);
        }
        return open().onSuccess(opened -> System.out.println("listening port=" + port));
    }

    private Future<HttpServer> open() {
        startCount++;
        completedSinceStart = 0;
        inFlight = 0;
        reportedInFlight = 0;
        queuedRuns.clear();
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true))
                .connectionHandler(connection -> {
                    connections.add(connection);
                    connection.closeHandler(closed -> {
                        connections.remove(connection);
                        unresponsiveConnections.remove(connection);
                    });
                })
                .requestHandler(this::handle);
        return server.listen(port, "127.0.0.1").onSuccess(opened -> port = opened.actualPort());
    }

    /**
     * Returns the TCP port that the server listens on.
     *
     * @return the TCP port; before the start, the configured one
     */
    public int actualPort() {
        return port;
    }

    private boolean isCold() {
        return profile.coldRequests() > 0 && completedSinceStart < profile.coldRequests();
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        switch (path) {
            case "/faults" ->
                request.body().onSuccess(body -> {
                    updateFaults(new JsonObject(body));
                    request.response().end();
                });
            case "/held" ->
                holdPoint.awaitHeld().onSuccess(point -> request.response().end(point));
            case "/release" -> {
                holdPoint.release();
                request.response().end();
            }
            case "/runs" -> request.response().end(runs.encode());
            case "/stats" -> request.response().end(stats().encode());
            default -> handleCall(request, path);
        }
    }

    private void handleCall(HttpServerRequest request, String path) {
        if (unresponsiveConnections.contains(request.connection())) {
            request.body();
            return;
        }
        if (path.equals("/v1/load")) {
            request.response().end(load().encode());
            return;
        }
        request.body().onSuccess(body -> admit(request, new JsonObject(body)));
    }

    private JsonObject load() {
        return new JsonObject()
                .put("incarnation", port + "-" + startCount)
                .put("in_flight", profile.reportLagMs() > 0 ? reportedInFlight : inFlight);
    }

    private JsonObject stats() {
        return new JsonObject()
                .put("received", receivedCount)
                .put("in_flight", inFlight)
                .put("largest_cold_in_flight", maxColdInFlight)
                .put("collapses", coldOverloadCount)
                .put("crashes", crashCount)
                .put("cancelled", cancelledCount)
                .put("fenced", staleTokenCount)
                .put("highest_token", highestFencingToken)
                .put("starts", startCount)
                .put("work_ms", totalWorkMs);
    }

    private void updateFaults(JsonObject change) {
        faults = faults.copy().mergeIn(change);
        if (change.containsKey("hold")) {
            JsonObject hold = change.getJsonObject("hold");
            holdPoint.arm(hold.getString("point"), hold.getInteger("passes", 0));
            faults.remove("hold");
        }
        if (change.getBoolean("silence_open_connections", false)) {
            unresponsiveConnections.addAll(connections);
        }
        if (change.getBoolean("restart", false)) {
            vertx.runOnContext(run -> restart());
        }
    }

    private void admit(HttpServerRequest request, JsonObject body) {
        receivedCount++;
        if (body.encode().contains(CRASH_MARKER)) {
            crashCount++;
            restart();
            return;
        }
        if (consumeFault("refusals")) {
            request.response().setStatusCode(faults.getInteger("status", 429)).end();
            return;
        }
        String token = request.getHeader("Fencing-Token");
        if (token != null && faults.getBoolean("checks_fencing", false)) {
            long fencingToken = Long.parseLong(token);
            if (fencingToken < highestFencingToken) {
                staleTokenCount++;
                request.response().setStatusCode(412).end();
                return;
            }
            highestFencingToken = fencingToken;
        }
        inFlight++;
        if (isCold()) {
            maxColdInFlight = Math.max(maxColdInFlight, inFlight);
            if (inFlight > profile.coldLimit()) {
                coldOverloadCount++;
                restart();
                return;
            }
        }
        Runnable run = () -> run(request, body);
        if (inFlight > profile.limit()) {
            queuedRuns.add(run);
        } else {
            run.run();
        }
    }

    private boolean consumeFault(String fault) {
        int remaining = faults.getInteger(fault, 0);
        if (remaining > 0) {
            faults.put(fault, remaining - 1);
        }
        return remaining > 0;
    }

    /** Closes all connections, discards the work in flight and restarts as a new incarnation. */
    private void restart() {
        HttpServer previousServer = server;
        Set<HttpConnection> droppedConnections = new HashSet<>(connections);
        connections.clear();
        unresponsiveConnections.clear();
        inFlight = 0;
        startCount++;
        previousServer.close().onComplete(closed -> vertx.setTimer(RESTART_DELAY_MS, fired -> reopen()));
        droppedConnections.forEach(HttpConnection::close);
    }

    private void reopen() {
        open().onFailure(failure -> vertx.setTimer(RESTART_DELAY_MS, fired -> reopen()));
    }

    private void run(HttpServerRequest request, JsonObject body) {
        int incarnation = startCount;
        String attempt = request.getHeader("X-Request-Id");
        boolean streamed = body.getBoolean("stream", false);
        holdPoint.pass("run before").onSuccess(ready -> {
            runs.add(new JsonObject()
                    .put("attempt", attempt)
                    .put("key", request.getHeader("Idempotency-Key"))
                    .put("path", request.path()));
            double slowFactor = faults.getDouble("slow_factor", 1.0);
            int workMs = (int) Math.max(1, profile.workMs() * slowFactor);
            totalWorkMs += workMs;
            vertx.setTimer(workMs, fired -> holdPoint.pass("run after").onSuccess(released -> {
                if (incarnation != startCount) {
                    return;
                }
                if (streamed) {
                    new EngineStream(
                                    vertx,
                                    request,
                                    body,
                                    profile,
                                    faults,
                                    this::loadFactor,
                                    () -> recordCompletion(incarnation))
                            .start(() -> cancelledCount++);
                } else {
                    respondToServiceCall(request, body, attempt);
                    recordCompletion(incarnation);
                }
            }));
        });
    }

    private double loadFactor() {
        // The batch contains the running requests only, not the queued ones.
        return 1 + (double) Math.min(inFlight, profile.limit()) / profile.limit();
    }

    private void respondToServiceCall(HttpServerRequest request, JsonObject body, String attempt) {
        if (request.response().closed()) {
            cancelledCount++;
            return;
        }
        if (consumeFault("failures")) {
            request.response().setStatusCode(500).end();
            return;
        }
        String responseIdentifier = consumeFault("crossed") ? "another-request" : String.valueOf(attempt);
        Buffer responseBody = new JsonObject()
                .put("stage", body.getString("stage"))
                .put("served_by", port)
                .put("run", runs.size())
                .put("reference", "ref-" + port + "-" + runs.size())
                .toBuffer();
        request.response()
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Id", responseIdentifier)
                .end(responseBody);
    }

    private void recordCompletion(int incarnation) {
        if (incarnation != startCount) {
            return;
        }
        inFlight--;
        completedSinceStart++;
        Runnable next = queuedRuns.poll();
        if (next != null) {
            next.run();
        }
    }
}
