package org.pimentovale.gateway.suspect;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.suspect.SuspectTable;
import org.pimentovale.kernel.suspect.SuspectVerdict;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Finds the requests that crash the endpoints which run them, wherever their attempts arrive.
 *
 * <p>A lost connection counts where the endpoint then refuses another. Each fingerprint has an owner among the
 * gateways, which counts the endpoints that were lost and tells all others once there are too many; a loss thus costs
 * one message and not one for each gateway. What a dead owner has counted is lost, and counted anew by the next. Not
 * thread safe; used on one event loop.
 */
public final class SuspectExchange {
    private static final Logger LOG = Logger.getLogger(SuspectExchange.class);
    private static final int LOSSES_OF_QUARANTINE = 3;
    private static final int CAPACITY = 10_000;
    private static final int MESSAGE_TIMEOUT_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 250;

    private final GatewayTables tables;
    private final TimedHttpClient peers;
    private final NetClient probes;
    private final SuspectTable counted = new SuspectTable(CAPACITY, LOSSES_OF_QUARANTINE);
    private final Map<String, Boolean> quarantined = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    /**
     * Creates an exchange that suspects nothing.
     *
     * @param vertx makes connections
     * @param tables tells the peers
     * @param peers makes calls to peers
     */
    public SuspectExchange(Vertx vertx, GatewayTables tables, TimedHttpClient peers) {
        this.tables = tables;
        this.peers = peers;
        this.probes = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /**
     * Tells whether any request is not to run any more.
     *
     * @return false as long as no fingerprint needs to be computed
     */
    public boolean any() {
        return !quarantined.isEmpty();
    }

    /**
     * Tells whether a request is not to run any more.
     *
     * @param fingerprint names the request
     * @return whether it has crashed too many endpoints
     */
    public boolean isQuarantined(String fingerprint) {
        return quarantined.containsKey(fingerprint);
    }

    /**
     * Finds out whether an endpoint was lost with a connection to it, and counts that against the request.
     *
     * @param fingerprint names the request that ran there
     * @param endpoint the endpoint's identifier
     * @param address host and port
     */
    public void connectionLost(String fingerprint, String endpoint, String address) {
        int colon = address.lastIndexOf(':');
        probes.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(NetSocket::close)
                .onFailure(failure -> {
                    // Silence may be the network's; only a refusal shows that nobody listens there any more.
                    if (!(failure instanceof ConnectTimeoutException)) {
                        tellOwner(new SuspectReport(fingerprint, Optional.of(endpoint)));
                    }
                });
    }

    private void tellOwner(SuspectReport report) {
        Optional<InstanceRecord> owner = tables.peers().owner(report.fingerprint());
        if (owner.isEmpty()) {
            take(report);
        } else {
            tell(owner.get(), report);
        }
    }

    /**
     * Takes the report of a gateway.
     *
     * @param report the report
     */
    public void take(SuspectReport report) {
        String fingerprint = report.fingerprint();
        if (report.lostEndpoint().isEmpty()) {
            quarantined.put(fingerprint, true);
            Events.warn(LOG, "request_quarantined", "fingerprint", fingerprint);
            return;
        }
        boolean news = counted.recordLoss(fingerprint, report.lostEndpoint().get());
        SuspectVerdict verdict = counted.verdict(fingerprint);
        Events.info(
                LOG,
                "endpoint_lost",
                "fingerprint",
                fingerprint,
                "endpoint",
                report.lostEndpoint().get(),
                "verdict",
                verdict);
        if (news && verdict == SuspectVerdict.QUARANTINED) {
            SuspectReport order = new SuspectReport(fingerprint, Optional.empty());
            take(order);
            tables.peers().others().forEach(peer -> tell(peer, order));
        }
    }

    /** Closes what finds out about losses. */
    public void close() {
        probes.close();
    }

    private void tell(InstanceRecord peer, SuspectReport report) {
        HttpCall exchange = new HttpCall(
                peer.address(),
                HttpMethod.POST,
                PeerPaths.SUSPECT,
                Optional.of(Buffer.buffer(Json.write(report))),
                MESSAGE_TIMEOUT_MS);
        peers.call(exchange, MultiMap.caseInsensitiveMultiMap())
                .onFailure(failure -> Events.info(
                        LOG,
                        "suspect_not_told",
                        "peer",
                        peer.name(),
                        "fingerprint",
                        report.fingerprint(),
                        "failure",
                        failure.getMessage()));
    }
}
