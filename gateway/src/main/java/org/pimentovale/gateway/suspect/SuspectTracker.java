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
 * Detects requests that crash the endpoints running them, across the attempts at all gateways.
 *
 * <p>A lost connection counts as a lost endpoint if the endpoint then refuses a new connection. One gateway owns each
 * fingerprint: it counts the lost endpoints and notifies all other gateways when the threshold is reached, so a loss
 * costs one message instead of one per gateway. If an owner fails, its counts are lost and the next owner starts at
 * zero. Not thread safe; used on one event loop.
 */
public final class SuspectTracker {
    private static final Logger LOG = Logger.getLogger(SuspectTracker.class);
    private static final int QUARANTINE_THRESHOLD_LOSSES = 3;
    private static final int MAX_FINGERPRINTS = 10_000;
    private static final int REPORT_TIMEOUT_MS = 500;
    private static final int CONNECT_TIMEOUT_MS = 250;

    private final GatewayTables tables;
    private final TimedHttpClient peerClient;
    private final NetClient probeClient;
    private final SuspectTable suspects = new SuspectTable(MAX_FINGERPRINTS, QUARANTINE_THRESHOLD_LOSSES);
    private final Map<String, Boolean> quarantined = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_FINGERPRINTS;
        }
    };

    /**
     * Creates a tracker without suspects.
     *
     * @param vertx opens connections to check whether endpoints are reachable
     * @param tables provides the peers
     * @param peerClient sends reports to peers
     */
    public SuspectTracker(Vertx vertx, GatewayTables tables, TimedHttpClient peerClient) {
        this.tables = tables;
        this.peerClient = peerClient;
        this.probeClient = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /**
     * Returns whether any request is quarantined.
     *
     * @return whether a request has to be checked with {@link #isQuarantined}; if false, its fingerprint is not needed
     */
    public boolean hasQuarantined() {
        return !quarantined.isEmpty();
    }

    /**
     * Returns whether a request is quarantined and must not run again.
     *
     * @param fingerprint the request's fingerprint, the same for all its attempts
     * @return whether the request has crashed too many endpoints to run again
     */
    public boolean isQuarantined(String fingerprint) {
        return quarantined.containsKey(fingerprint);
    }

    /**
     * Checks whether an endpoint is down after a connection to it was lost, and if so reports the loss to the owner of
     * the fingerprint.
     *
     * @param fingerprint the fingerprint of the request that ran on the connection
     * @param endpoint the endpoint's identifier
     * @param address the endpoint's host and port
     */
    public void reportConnectionLoss(String fingerprint, String endpoint, String address) {
        int colon = address.lastIndexOf(':');
        probeClient
                .connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(NetSocket::close)
                .onFailure(failure -> {
                    // A timeout may be caused by the network; only a refused connection shows that the endpoint is
                    // down.
                    if (!(failure instanceof ConnectTimeoutException)) {
                        reportToOwner(new SuspectReport(fingerprint, Optional.of(endpoint)));
                    }
                });
    }

    private void reportToOwner(SuspectReport report) {
        Optional<InstanceRecord> owner = tables.peers().owner(report.fingerprint());
        if (owner.isEmpty()) {
            handleReport(report);
        } else {
            sendReport(owner.get(), report);
        }
    }

    /**
     * Handles a report from this or another gateway.
     *
     * @param report a lost endpoint, or the quarantine of a request
     */
    public void handleReport(SuspectReport report) {
        String fingerprint = report.fingerprint();
        if (report.lostEndpoint().isEmpty()) {
            quarantined.put(fingerprint, true);
            Events.warn(LOG, "request_quarantined", "fingerprint", fingerprint);
            return;
        }
        boolean newLoss = suspects.recordLoss(fingerprint, report.lostEndpoint().get());
        SuspectVerdict verdict = suspects.verdict(fingerprint);
        Events.info(
                LOG,
                "endpoint_lost",
                "fingerprint",
                fingerprint,
                "endpoint",
                report.lostEndpoint().get(),
                "verdict",
                verdict);
        if (newLoss && verdict == SuspectVerdict.QUARANTINED) {
            SuspectReport quarantineReport = new SuspectReport(fingerprint, Optional.empty());
            handleReport(quarantineReport);
            tables.peers().others().forEach(peer -> sendReport(peer, quarantineReport));
        }
    }

    /** Closes the client that checks endpoints. */
    public void close() {
        probeClient.close();
    }

    private void sendReport(InstanceRecord peer, SuspectReport report) {
        HttpCall call = new HttpCall(
                peer.address(),
                HttpMethod.POST,
                PeerPaths.SUSPECT,
                Optional.of(Buffer.buffer(Json.write(report))),
                REPORT_TIMEOUT_MS);
        peerClient
                .call(call, MultiMap.caseInsensitiveMultiMap())
                .onFailure(failure -> Events.info(
                        LOG,
                        "suspect_report_failed",
                        "peer",
                        peer.name(),
                        "fingerprint",
                        report.fingerprint(),
                        "failure",
                        failure.getMessage()));
    }
}
