package org.pimentovale.gateway.suspect;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.quarantine.LostRequest;
import org.pimentovale.kernel.quarantine.QuarantineTable;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Detects requests and prompt parts that crash the endpoints running them, together with all other gateways.
 *
 * <p>Every gateway reports the losses that it sees to all others, one message for each lost endpoint, and counts all
 * reports, so that no count is lost with a gateway. A gateway that quarantines a key tells all others, and stores the
 * key for gateways that start later. A gateway that knows an answer which refutes the decision tells all others, too.
 * Not thread safe; used on one event loop.
 */
public final class SuspectTracker {
    private static final Logger LOG = Logger.getLogger(SuspectTracker.class);
    private static final int CAPACITY = 4_096;
    private static final int REPORT_TIMEOUT_MS = 500;
    private static final int RECONCILE_INTERVAL_MS = 5_000;

    private final Vertx vertx;
    private final GatewayTables tables;
    private final TimedHttpClient peerClient;
    private final PlatformStore store;
    private final LossDetector lossDetector;
    private final QuarantineTable table = new QuarantineTable(CAPACITY);
    private final Set<SuspectKey> stored = new HashSet<>();
    private long reconcileTimer = -1;

    /**
     * Creates a tracker without suspects.
     *
     * @param vertx runs timers and opens connections to check whether endpoints are reachable
     * @param tables provides the peers
     * @param peerClient sends reports to peers
     * @param store stores the quarantined keys
     */
    public SuspectTracker(Vertx vertx, GatewayTables tables, TimedHttpClient peerClient, PlatformStore store) {
        this.vertx = vertx;
        this.tables = tables;
        this.peerClient = peerClient;
        this.store = store;
        this.lossDetector = new LossDetector(vertx, this::reportLoss);
    }

    /** Starts to keep the stored keys equal to the quarantined ones. */
    public void start() {
        reconcileTimer = vertx.setPeriodic(RECONCILE_INTERVAL_MS, fired -> reconcile());
    }

    /**
     * Returns how long a request must not run because it, or a part of its prompt, is quarantined.
     *
     * @param sharedParts the identifiers of the shared parts of the request's prompt
     * @param fingerprint computes the request's fingerprint, called only if any request is quarantined
     * @return milliseconds, empty if the request may run
     */
    public OptionalLong remainingQuarantineMs(Supplier<List<String>> sharedParts, Supplier<String> fingerprint) {
        if (table.hasQuarantinedParts()) {
            OptionalLong longest = sharedParts.get().stream()
                    .map(part -> table.remainingMs(SuspectKey.promptPart(part), tables.nowMs()))
                    .flatMapToLong(OptionalLong::stream)
                    .max();
            if (longest.isPresent()) {
                return longest;
            }
        }
        return table.hasQuarantinedRequests()
                ? table.remainingMs(SuspectKey.request(fingerprint.get()), tables.nowMs())
                : OptionalLong.empty();
    }

    /**
     * Tells whether a request is under suspicion: it or a part of its prompt is quarantined, or an endpoint was lost
     * lately while it ran the request or one that shares a prompt part with it.
     *
     * @param request identifies the request, called only if there are suspects
     * @return whether the request must not be sent to more endpoints than necessary
     */
    public boolean isSuspected(Supplier<LostRequest> request) {
        boolean quarantined = remainingQuarantineMs(
                        () -> request.get().sharedParts(), () -> request.get().fingerprint())
                .isPresent();
        return quarantined || (table.hasSuspects() && table.isSuspected(request.get(), tables.nowMs()));
    }

    /**
     * Decides whether a request may be sent now although it contains prompt parts that may crash endpoints.
     *
     * @param request identifies the request, called only if there are suspects
     * @return zero if the request may be sent, otherwise the time in milliseconds after which to ask again
     */
    public long sendDelayMs(Supplier<LostRequest> request) {
        if (!table.hasSuspects()) {
            return 0;
        }
        LostRequest suspect = request.get();
        long delayMs = table.sendDelayMs(suspect, tables.nowMs());
        if (delayMs > 0) {
            Events.info(
                    LOG,
                    "suspect_delayed",
                    "fingerprint",
                    suspect.fingerprint(),
                    "shared_parts",
                    suspect.sharedParts(),
                    "delay_ms",
                    delayMs);
        }
        return delayMs;
    }

    /**
     * Checks whether an endpoint is down after a connection to it was lost, and if so reports the loss to all gateways.
     *
     * @param endpoint the endpoint
     * @param request the request that ran on the connection, and that the endpoint had not begun to answer
     */
    public void recordConnectionLoss(EndpointRecord endpoint, LostRequest request) {
        lossDetector.check(endpoint, request);
    }

    /**
     * Records that an endpoint has begun and continued an answer.
     *
     * @param sharedParts the identifiers of the shared parts of the request's prompt
     */
    public void recordAnswer(List<String> sharedParts) {
        table.recordAnswer(sharedParts).forEach(key -> {
            Events.warn(LOG, "quarantine_refuted", "key", key);
            announceRelease(key);
        });
    }

    /**
     * Returns the number of quarantined keys.
     *
     * @return the number of requests and prompt parts
     */
    public int quarantinedCount() {
        return table.quarantined().size();
    }

    private void reportLoss(LossReport report) {
        sendToAll(PeerPaths.SUSPECT, report);
        handleLoss(report);
    }

    /**
     * Handles the report of a lost endpoint from this or another gateway.
     *
     * @param report the report
     */
    public void handleLoss(LossReport report) {
        for (LostRequest request : report.requests()) {
            Optional<SuspectKey> culprit = table.recordLoss(report.incarnation(), request, tables.nowMs());
            Events.info(
                    LOG,
                    "endpoint_lost",
                    "endpoint",
                    report.incarnation(),
                    "fingerprint",
                    request.fingerprint(),
                    "shared_parts",
                    request.sharedParts(),
                    "losses",
                    request.sharedParts().stream()
                            .map(part -> table.losses(SuspectKey.promptPart(part)))
                            .toList(),
                    "culprit",
                    culprit.map(SuspectKey::toString).orElse("none"));
            culprit.ifPresent(this::announceQuarantine);
        }
    }

    /**
     * Handles a decision of another gateway.
     *
     * @param notice the decision
     */
    public void handleNotice(QuarantineNotice notice) {
        SuspectKey key = notice.key();
        if (!notice.quarantined()) {
            boolean released = table.release(key);
            Events.info(LOG, "quarantine_released", "key", key, "was_quarantined", released);
        } else if (table.accept(key, tables.nowMs())) {
            Events.warn(LOG, "request_quarantined", "key", key, "decided_by", "peer");
        } else {
            Events.warn(LOG, "quarantine_refuted", "key", key);
            announceRelease(key);
        }
    }

    private void announceQuarantine(SuspectKey key) {
        Events.warn(LOG, "request_quarantined", "key", key, "decided_by", "self");
        sendToAll(PeerPaths.QUARANTINE, new QuarantineNotice(key, true));
        writeToStore(key);
    }

    private void announceRelease(SuspectKey key) {
        sendToAll(PeerPaths.QUARANTINE, new QuarantineNotice(key, false));
        removeFromStore(key);
    }

    /**
     * Replaces the stored keys by a complete list, and quarantines those that are not quarantined yet.
     *
     * @param keys all stored keys
     */
    public void storedKeysListed(List<SuspectKey> keys) {
        stored.clear();
        keys.forEach(this::storedKeyAdded);
    }

    /**
     * Quarantines a key that another gateway stored.
     *
     * @param key the key
     */
    public void storedKeyAdded(SuspectKey key) {
        stored.add(key);
        if (table.remainingMs(key, tables.nowMs()).isEmpty()) {
            handleNotice(new QuarantineNotice(key, true));
        }
    }

    /**
     * Removes a key from the store again, if this gateway owns it. A restored store lists it although its quarantine
     * has ended.
     *
     * @param key the key
     */
    public void storedKeyReappeared(SuspectKey key) {
        if (owns(key)) {
            removeFromStore(key);
        }
    }

    /**
     * Ends the quarantine of a key that another gateway removed from the store.
     *
     * @param key the key
     */
    public void storedKeyRemoved(SuspectKey key) {
        stored.remove(key);
        table.endQuarantine(key);
    }

    /** Stores the quarantined keys that this gateway owns and that are not stored, and removes those that ended. */
    private void reconcile() {
        table.endExpired(tables.nowMs()).stream().filter(this::owns).forEach(this::removeFromStore);
        table.quarantined().stream()
                .filter(key -> !stored.contains(key))
                .filter(this::owns)
                .forEach(this::writeToStore);
    }

    private boolean owns(SuspectKey key) {
        return tables.peers().owner(key.identifier()).isEmpty();
    }

    private void writeToStore(SuspectKey key) {
        store.storeQuarantine(key)
                .onSuccess(done -> stored.add(key))
                .onFailure(failure ->
                        Events.warn(LOG, "quarantine_not_stored", "key", key, "failure", failure.getMessage()));
    }

    private void removeFromStore(SuspectKey key) {
        stored.remove(key);
        store.removeQuarantine(key)
                .onFailure(failure ->
                        Events.warn(LOG, "quarantine_not_removed", "key", key, "failure", failure.getMessage()));
    }

    private void sendToAll(String path, Object message) {
        Buffer body = Buffer.buffer(Json.write(message));
        tables.peers().others().forEach(peer -> send(peer, path, body));
    }

    private void send(InstanceRecord peer, String path, Buffer body) {
        HttpCall call = new HttpCall(peer.address(), HttpMethod.POST, path, Optional.of(body), REPORT_TIMEOUT_MS);
        peerClient
                .call(call, MultiMap.caseInsensitiveMultiMap())
                .onFailure(failure -> Events.info(
                        LOG,
                        "suspect_report_failed",
                        "peer",
                        peer.name(),
                        "path",
                        path,
                        "failure",
                        failure.getMessage()));
    }

    /** Stops the periodic task and closes the client that checks endpoints. */
    public void close() {
        vertx.cancelTimer(reconcileTimer);
        lossDetector.close();
    }
}
