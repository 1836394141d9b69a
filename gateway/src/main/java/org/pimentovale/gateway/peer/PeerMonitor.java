package org.pimentovale.gateway.peer;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Asks the gateways that matter to this one whether they answer: the owners of services, and those that were silent.
 *
 * <p>The number of questions grows with the services, not with the gateways. Invariant: a gateway counts as silent
 * after two questions in a row without an answer. Not thread safe; used on one event loop.
 */
public final class PeerMonitor {
    private static final Logger LOG = Logger.getLogger(PeerMonitor.class);
    private static final int PERIOD_MS = 250;
    private static final int TIMEOUT_MS = 220;
    private static final int MOST_MISSES = 2;
    private static final int SILENT_EVERY = 4;
    private static final long WARM_UP_MS = 3_000;

    private final Vertx vertx;
    private final GatewayTables tables;
    private final TimedHttpClient client;
    private final Supplier<List<String>> duties;
    private final Consumer<String> peerLost;
    private final Map<String, Integer> misses = new HashMap<>();
    private long rounds;
    private long timer = -1;

    /**
     * Creates a monitor that does not run yet.
     *
     * @param vertx runs timers
     * @param tables what the gateway knows
     * @param client makes calls to peers
     * @param duties names the services whose owners matter
     * @param peerLost is told the name of each gateway that has become silent
     */
    public PeerMonitor(
            Vertx vertx,
            GatewayTables tables,
            TimedHttpClient client,
            Supplier<List<String>> duties,
            Consumer<String> peerLost) {
        this.vertx = vertx;
        this.tables = tables;
        this.client = client;
        this.duties = duties;
        this.peerLost = peerLost;
    }

    /** Begins to ask. */
    public void start() {
        timer = vertx.setPeriodic(PERIOD_MS, fired -> askAll());
    }

    /** Asks no more. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void askAll() {
        rounds++;
        Stream<InstanceRecord> owners =
                duties.get().stream().map(duty -> tables.peers().owner(duty)).flatMap(Optional::stream);
        Stream<InstanceRecord> silent = rounds % SILENT_EVERY != 0
                ? Stream.empty()
                : tables.peers().others().stream()
                        .filter(peer -> !tables.peers().answers(peer.name()));
        Set<InstanceRecord> asked = Stream.concat(owners, silent).collect(Collectors.toSet());
        asked.forEach(this::ask);
    }

    private void ask(InstanceRecord peer) {
        HttpCall exchange = new HttpCall(peer.address(), HttpMethod.GET, PeerPaths.ALIVE, Optional.empty(), TIMEOUT_MS);
        client.call(exchange, MultiMap.caseInsensitiveMultiMap()).onComplete(result -> {
            if (result.succeeded() && result.result().status() == 200) {
                misses.remove(peer.name());
                if (uptimeMs(result.result()) >= WARM_UP_MS && tables.peers().recordAnswer(peer.name())) {
                    Events.info(LOG, "peer_regained", "peer", peer.name());
                }
            } else if (result.succeeded() || misses.merge(peer.name(), 1, Integer::sum) >= MOST_MISSES) {
                lose(peer.name(), result.succeeded() ? "leaving" : "silent");
            }
        });
    }

    /** A gateway that was away owns nothing again before its new life has warmed up. */
    private static long uptimeMs(HttpResponse answer) {
        String uptime = answer.headers().get(PeerPaths.UPTIME_MS);
        return uptime == null ? Long.MAX_VALUE : Long.parseLong(uptime);
    }

    private void lose(String peer, String reason) {
        if (tables.peers().recordSilence(peer, tables.nowMs())) {
            Events.warn(LOG, "peer_lost", "peer", peer, "reason", reason);
            if (reason.equals("silent")) {
                peerLost.accept(peer);
            }
        }
    }
}
