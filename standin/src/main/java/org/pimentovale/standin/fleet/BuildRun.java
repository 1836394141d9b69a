package org.pimentovale.standin.fleet;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The build that an endpoint stand-in runs: it responds after a service time, and badly where its fault applies.
 *
 * <p>Thread safe; it takes no other lock while it holds its own.
 */
public final class BuildRun {
    private final Vertx vertx;
    private final BuildFault fault;
    private final int serviceMs;
    private final long startedNs = System.nanoTime();
    private final List<Served> served = new ArrayList<>();
    private int running;
    private long begun;

    /**
     * A request as this build served it.
     *
     * @param path the path of the request
     * @param receivedNs the value of {@link System#nanoTime} when the request arrived
     * @param endedNs the same for the end of the response
     * @param bad whether the fault applied to the request
     */
    public record Served(String path, long receivedNs, long endedNs, boolean bad) {}

    BuildRun(Vertx vertx, BuildFault fault, int serviceMs) {
        this.vertx = vertx;
        this.fault = fault;
        this.serviceMs = serviceMs;
    }

    void serve(String path, NetSocket socket, String attempt) {
        long receivedNs = System.nanoTime();
        BuildFault.Effect effect = begin(path, receivedNs);
        vertx.setTimer(Math.max(1, Math.round(serviceMs * effect.slowdown())), fired -> {
            end(new Served(path, receivedNs, System.nanoTime(), effect.bad()));
            effect.behaviour().respond(socket, attempt);
        });
    }

    private synchronized BuildFault.Effect begin(String path, long nowNs) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNs - startedNs);
        return fault.effect(path, ageMs, running++, begun++);
    }

    private synchronized void end(Served request) {
        running--;
        served.add(request);
    }

    /**
     * Returns the requests that have ended.
     *
     * @return the requests in the order of their ends
     */
    public synchronized List<Served> served() {
        return List.copyOf(served);
    }

    /**
     * Returns the number of requests whose response has not been sent.
     *
     * @return the number of requests
     */
    public synchronized int running() {
        return running;
    }
}
