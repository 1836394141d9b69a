package org.pimentovale.gateway.stream;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.stream.BuildHistory;
import org.pimentovale.kernel.stream.OriginLookup;
import org.pimentovale.kernel.stream.RouteHistory;
import org.pimentovale.kernel.stream.StreamOrigin;
import org.pimentovale.kernel.stream.StreamOriginTable;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Remembers where resumable streams began, together with the other gateways.
 *
 * <p>An origin is recorded when the request is sent, before the first event, here and at the {@link #REPLICAS} peers
 * that come first for the attempt by rendezvous hashing; that of a retry at all peers that are asked for records. A
 * gateway that takes a stream up asks the first {@link OriginLookup#FIRST_PEERS} of them, so that an origin is found
 * after the loss of gateways, and by a gateway whose list of peers differs. If no record counts, it asks the store for
 * the endpoints that serve now and the routes in force, then peers that may reach the store, and at last up to
 * {@link #MAX_LOOKUP_PEERS} peers for the endpoints that they listed and the routes that they had. Not thread safe;
 * used on one event loop.
 */
public final class StreamOrigins {
    private static final Logger LOG = Logger.getLogger(StreamOrigins.class);
    private static final int REPLICAS = 2;
    private static final int MAX_LOOKUP_PEERS = 64;
    private static final int CALL_TIMEOUT_MS = 300;
    private static final int CONFIRMATION_TIMEOUT_MS = 700;
    private static final int STATUS_OK = 200;

    private final GatewayTables tables;
    private final TimedHttpClient peerClient;
    private final Supplier<Future<Long>> confirmation;
    private final StreamOriginTable origins = new StreamOriginTable();
    private final BuildHistory builds;
    private final RouteHistory routes;

    /**
     * Creates a memory without origins.
     *
     * @param tables provides the time, the peers and the endpoints
     * @param peerClient sends requests to peers
     * @param builds receives the listed builds
     * @param routes receives the routes in force
     * @param confirmation asks the store for the changes of endpoints and of the configuration up to now; returns how
     *     long all changes are known without a gap, in milliseconds, and fails if the store does not respond
     */
    public StreamOrigins(
            GatewayTables tables,
            TimedHttpClient peerClient,
            BuildHistory builds,
            RouteHistory routes,
            Supplier<Future<Long>> confirmation) {
        this.tables = tables;
        this.peerClient = peerClient;
        this.builds = builds;
        this.routes = routes;
        this.confirmation = confirmation;
    }

    /** Records the listed builds and the routes in force. To be called periodically and after each change. */
    public void observeBuilds() {
        builds.observe(tables.endpoints().allEndpoints(), tables.nowMs());
        tables.configuration().ifPresent(active -> routes.observe(active, tables.nowMs()));
    }

    /**
     * Asks the store for the changes of endpoints and of the configuration up to now and applies them.
     *
     * @return completes when they are applied or the store did not respond soon; never fails
     */
    public Future<Void> refreshEndpoints() {
        return confirmation.get().<Void>mapEmpty().otherwiseEmpty();
    }

    /**
     * Records where a stream begins, here and at peers.
     *
     * @param attempt the identifier of the attempt
     * @param origin the origin
     */
    public void record(String attempt, StreamOrigin origin) {
        OriginRecord message = new OriginRecord(attempt, origin);
        origins.recordRelayed(attempt, origin, tables.nowMs());
        if (origin.dispatch() > 1) {
            replicateRetry(message);
            return;
        }
        Iterator<InstanceRecord> replicas = tables.peers().ranked(attempt).stream()
                .filter(peer -> tables.peers().isResponsive(peer.name()))
                .iterator();
        for (int replica = 0; replica < REPLICAS; replica++) {
            replicate(message, replicas);
        }
    }

    /** Tells every peer that is asked for a record, since those that know the earlier dispatch would answer with it. */
    private void replicateRetry(OriginRecord message) {
        tables.peers().ranked(message.attempt()).stream()
                .limit(OriginLookup.FIRST_PEERS)
                .forEach(peer -> replicate(message, List.of(peer).iterator()));
    }

    private void replicate(OriginRecord message, Iterator<InstanceRecord> replicas) {
        if (!replicas.hasNext()) {
            return;
        }
        InstanceRecord peer = replicas.next();
        post(peer, PeerPaths.STREAM_ORIGIN, message, CALL_TIMEOUT_MS).onFailure(failure -> {
            logFailure("stream_origin_not_replicated", peer, message.attempt(), failure);
            replicate(message, replicas);
        });
    }

    /**
     * Handles the record of a peer.
     *
     * @param message the record
     */
    public void handleRecord(OriginRecord message) {
        origins.record(message.attempt(), message.origin(), tables.nowMs());
    }

    /**
     * Answers the question of a peer.
     *
     * @param question the question
     * @return what this gateway knows, once the store has responded or failed to if the question asks for that; never
     *     fails
     */
    public Future<OriginLookup.Answer> answer(OriginQuestion question) {
        return question.confirm().orElse(false)
                ? confirmation
                        .get()
                        .map(Optional::of)
                        .otherwise(Optional.empty())
                        .map(confirmedMs -> answer(question, confirmedMs))
                : Future.succeededFuture(answer(question, Optional.empty()));
    }

    private OriginLookup.Answer answer(OriginQuestion question, Optional<Long> confirmedMs) {
        if (tables.ready()) {
            observeBuilds();
        }
        long nowMs = tables.nowMs();
        long observedMs = builds.observedMs(nowMs);
        long windowMs = windowMs(question, nowMs);
        return new OriginLookup.Answer(
                origins.find(question.attempt()),
                builds.recentBuilds(question.service(), nowMs - windowMs),
                observedMs,
                confirmedMs.map(coveredMs -> Math.min(coveredMs, builds.knownMs(nowMs))),
                Optional.of(origins.isRelayed(question.attempt())),
                Optional.of(windowMs),
                recentServices(question, nowMs - windowMs));
    }

    /** Returns the longest time that the stream may have lasted, by the routes known here and by the question. */
    private long windowMs(OriginQuestion question, long nowMs) {
        long knownMs = question.host()
                .flatMap(host -> question.path().map(path -> routes.longestWindowMs(host, path, nowMs)))
                .orElse(0L);
        return Math.max(question.windowMs(), knownMs);
    }

    private Optional<List<String>> recentServices(OriginQuestion question, long sinceMs) {
        return question.host()
                .flatMap(host -> question.path().map(path -> routes.recentRoutes(host, path, sinceMs).stream()
                        .flatMap(route -> route.targets().stream())
                        .distinct()
                        .toList()));
    }

    /**
     * Finds out where a stream began.
     *
     * @param question the attempt that began it, with the service of its route
     * @return the decision; never fails
     */
    public Future<OriginLookup.Decision> find(OriginQuestion question) {
        List<InstanceRecord> peers = tables.peers().ranked(question.attempt());
        OriginLookup lookup = new OriginLookup(question.service(), question.windowMs(), peers.size() + 1);
        return new Search(lookup, peers).start(question);
    }

    /** Asks gateways one group after the other until the origin is decided. */
    private final class Search {
        private final OriginLookup lookup;
        private final List<InstanceRecord> peers;

        private Search(OriginLookup lookup, List<InstanceRecord> peers) {
            this.lookup = lookup;
            this.peers = peers;
        }

        private Future<OriginLookup.Decision> start(OriginQuestion question) {
            List<InstanceRecord> first =
                    peers.stream().limit(OriginLookup.FIRST_PEERS).toList();
            List<InstanceRecord> others = peers.stream()
                    .limit(MAX_LOOKUP_PEERS)
                    .skip(OriginLookup.FIRST_PEERS)
                    .toList();
            return askSelf(question)
                    .compose(asked -> askPeers(first, question))
                    .compose(asked -> lookup.recorded().isPresent()
                            ? Future.succeededFuture()
                            : askForBuilds(question, first, others))
                    .map(asked -> lookup.decision());
        }

        private Future<Void> askForBuilds(
                OriginQuestion question, List<InstanceRecord> first, List<InstanceRecord> others) {
            return askSelf(wholeWindow(question.confirming()))
                    .compose(asked -> askPeers(first, wholeWindow(question.confirming())))
                    .compose(asked -> askPeers(others, wholeWindow(question)));
        }

        private OriginQuestion wholeWindow(OriginQuestion question) {
            return question.within(lookup.windowMs());
        }

        private Future<Void> askSelf(OriginQuestion question) {
            if (lookup.decided()) {
                return Future.succeededFuture();
            }
            return answer(question)
                    .onSuccess(answer -> lookup.add(tables.peers().self().name(), answer))
                    .mapEmpty();
        }

        /** Completes as soon as the origin is decided, or when all have answered or failed. */
        private Future<Void> askPeers(List<InstanceRecord> asked, OriginQuestion question) {
            if (lookup.decided() || asked.isEmpty()) {
                return Future.succeededFuture();
            }
            Promise<Void> decided = Promise.promise();
            List<Future<Void>> calls = asked.stream()
                    .map(peer -> askPeer(peer, question).onSuccess(answered -> {
                        if (lookup.decided()) {
                            decided.tryComplete();
                        }
                    }))
                    .toList();
            Future.join(calls).onComplete(ended -> decided.tryComplete());
            return decided.future();
        }

        private Future<Void> askPeer(InstanceRecord peer, OriginQuestion question) {
            int timeoutMs = question.confirm().orElse(false) ? CONFIRMATION_TIMEOUT_MS : CALL_TIMEOUT_MS;
            return post(peer, PeerPaths.STREAM_ORIGIN_LOOKUP, question, timeoutMs)
                    .map(body -> Json.read(body.getBytes(), OriginLookup.Answer.class))
                    .onSuccess(answer -> lookup.add(peer.name(), answer))
                    .onFailure(failure -> logFailure("stream_origin_not_answered", peer, question.attempt(), failure))
                    .mapEmpty();
        }
    }

    private Future<Buffer> post(InstanceRecord peer, String path, Object message, int timeoutMs) {
        Buffer body = Buffer.buffer(Json.write(message));
        HttpCall call = new HttpCall(peer.address(), HttpMethod.POST, path, Optional.of(body), timeoutMs);
        return peerClient
                .call(call, MultiMap.caseInsensitiveMultiMap())
                .compose(response -> response.status() == STATUS_OK
                        ? Future.succeededFuture(response.body())
                        : Future.failedFuture("status " + response.status()));
    }

    private static void logFailure(String event, InstanceRecord peer, String attempt, Throwable failure) {
        Events.info(LOG, event, "peer", peer.name(), "attempt", attempt, "failure", failure.getMessage());
    }
}
