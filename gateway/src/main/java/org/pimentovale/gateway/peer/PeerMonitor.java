package org.pimentovale.gateway.peer;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.kernel.time.ClockReading;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Probes the gateways on which this gateway depends: the owners of services, and those that were unresponsive.
 *
 * <p>The number of probes grows with the number of services, not with the number of gateways. An owner on which running
 * work depends, or that missed its last probe, is probed in each round, any other in every fourth. Invariant: a gateway
 * counts as unresponsive after two consecutive probes without a response. Not thread safe; used on one event loop.
 */
public final class PeerMonitor {
    private static final Logger LOG = Logger.getLogger(PeerMonitor.class);
    private static final int PROBE_INTERVAL_MS = 250;
    private static final int PROBE_TIMEOUT_MS = 220;
    private static final int MAX_MISSED_PROBES = 2;
    private static final int IDLE_PROBE_ROUNDS = 4;
    private static final long MIN_UPTIME_MS = 3_000;

    private final Vertx vertx;
    private final GatewayTables tables;
    private final TimedHttpClient client;
    private final Supplier<Set<String>> services;
    private final Predicate<InstanceRecord> inUse;
    private final Consumer<String> unresponsivePeerListener;
    private final BiConsumer<MultiMap, ClockReading> responseListener;
    private final Map<String, Integer> missedProbes = new HashMap<>();
    private long rounds;
    private long timer = -1;

    /**
     * Creates a monitor, which does nothing until it is started.
     *
     * @param vertx schedules the probes
     * @param tables provides the time and the peers
     * @param client sends the probes
     * @param services returns the services whose owners are probed
     * @param inUse whether running work depends on a gateway
     * @param unresponsivePeerListener receives the name of each gateway that stops responding without draining
     * @param responseListener receives the headers of each response, and when the probe was sent
     */
    public PeerMonitor(
            Vertx vertx,
            GatewayTables tables,
            TimedHttpClient client,
            Supplier<Set<String>> services,
            Predicate<InstanceRecord> inUse,
            Consumer<String> unresponsivePeerListener,
            BiConsumer<MultiMap, ClockReading> responseListener) {
        this.vertx = vertx;
        this.tables = tables;
        this.client = client;
        this.services = services;
        this.inUse = inUse;
        this.unresponsivePeerListener = unresponsivePeerListener;
        this.responseListener = responseListener;
    }

    /** Starts probing. */
    public void start() {
        timer = vertx.setPeriodic(PROBE_INTERVAL_MS, fired -> probeAll());
    }

    /** Stops probing. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void probeAll() {
        rounds++;
        boolean allTargets = rounds % IDLE_PROBE_ROUNDS == 0;
        Stream<InstanceRecord> owners = services.get().stream()
                .map(service -> tables.peers().owner(service))
                .flatMap(Optional::stream)
                .filter(owner -> allTargets || missedProbes.containsKey(owner.name()) || inUse.test(owner));
        Stream<InstanceRecord> unresponsive = !allTargets
                ? Stream.empty()
                : tables.peers().others().stream()
                        .filter(peer -> !tables.peers().isResponsive(peer.name()));
        Set<InstanceRecord> targets = Stream.concat(owners, unresponsive).collect(Collectors.toSet());
        targets.forEach(this::probe);
    }

    private void probe(InstanceRecord peer) {
        HttpCall call =
                new HttpCall(peer.address(), HttpMethod.GET, PeerPaths.ALIVE, Optional.empty(), PROBE_TIMEOUT_MS);
        ClockReading sent = new ClockReading(tables.nowMs(), System.currentTimeMillis());
        client.call(call, MultiMap.caseInsensitiveMultiMap()).onComplete(result -> {
            if (result.succeeded() && result.result().status() == 200) {
                missedProbes.remove(peer.name());
                responseListener.accept(result.result().headers(), sent);
                if (uptimeMs(result.result()) >= MIN_UPTIME_MS && tables.peers().markResponsive(peer.name())) {
                    Events.info(LOG, "peer_responsive", "peer", peer.name());
                }
            } else if (result.succeeded() || missedProbes.merge(peer.name(), 1, Integer::sum) >= MAX_MISSED_PROBES) {
                markUnresponsive(peer.name(), result.succeeded() ? "leaving" : "silent");
            }
        });
    }

    /** Returns the uptime; a restarted gateway becomes an owner again only after it has warmed up. */
    private static long uptimeMs(HttpResponse response) {
        String uptime = response.headers().get(PeerPaths.UPTIME_MS);
        return uptime == null ? Long.MAX_VALUE : Long.parseLong(uptime);
    }

    private void markUnresponsive(String peer, String reason) {
        if (tables.peers().markUnresponsive(peer, tables.nowMs())) {
            Events.warn(LOG, "peer_unresponsive", "peer", peer, "reason", reason);
            if (reason.equals("silent")) {
                unresponsivePeerListener.accept(peer);
            }
        }
    }
}
