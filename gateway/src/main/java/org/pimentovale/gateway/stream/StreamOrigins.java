package org.pimentovale.gateway.stream;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.stream.BuildHistory;
import org.pimentovale.kernel.stream.OriginLookup;
import org.pimentovale.kernel.stream.StreamOrigin;
import org.pimentovale.kernel.stream.StreamOriginTable;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Remembers where resumable streams began, together with the other gateways.
 *
 * <p>An origin is recorded when the request is sent, before the first event, here and at the {@link #REPLICAS} peers
 * that come first for the attempt by rendezvous hashing. A gateway that takes a stream up asks the first
 * {@link #LOOKUP_PEERS} of them, so that an origin is found after the loss of gateways, and by a gateway whose list of
 * peers differs. Not thread safe; used on one event loop.
 */
public final class StreamOrigins {
    private static final Logger LOG = Logger.getLogger(StreamOrigins.class);
    private static final int REPLICAS = 2;
    private static final int LOOKUP_PEERS = 8;
    private static final int CALL_TIMEOUT_MS = 300;
    private static final int STATUS_OK = 200;

    private final GatewayTables tables;
    private final TimedHttpClient peerClient;
    private final StreamOriginTable origins = new StreamOriginTable();
    private final BuildHistory builds = new BuildHistory();

    /**
     * Creates a memory without origins.
     *
     * @param tables provides the time, the peers and the endpoints
     * @param peerClient sends requests to peers
     */
    public StreamOrigins(GatewayTables tables, TimedHttpClient peerClient) {
        this.tables = tables;
        this.peerClient = peerClient;
    }

    /** Records the builds that are listed now. To be called periodically and after each change of endpoints. */
    public void observeBuilds() {
        builds.observe(tables.endpoints().allEndpoints(), tables.nowMs());
    }

    /**
     * Records where a stream begins, here and at peers.
     *
     * @param attempt the identifier of the attempt
     * @param origin the origin
     */
    public void record(String attempt, StreamOrigin origin) {
        OriginRecord message = new OriginRecord(attempt, origin);
        handleRecord(message);
        Iterator<InstanceRecord> replicas = tables.peers().ranked(attempt).stream()
                .filter(peer -> tables.peers().isResponsive(peer.name()))
                .iterator();
        for (int replica = 0; replica < REPLICAS; replica++) {
            replicate(message, replicas);
        }
    }

    private void replicate(OriginRecord message, Iterator<InstanceRecord> replicas) {
        if (!replicas.hasNext()) {
            return;
        }
        InstanceRecord peer = replicas.next();
        post(peer, PeerPaths.STREAM_ORIGIN, message).onFailure(failure -> {
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
     * @return what this gateway knows
     */
    public OriginLookup.Answer answer(OriginQuestion question) {
        long nowMs = tables.nowMs();
        return new OriginLookup.Answer(
                origins.find(question.attempt()),
                builds.recentBuilds(question.service(), nowMs - question.windowMs()),
                builds.observedMs(nowMs));
    }

    /**
     * Finds out where a stream began.
     *
     * @param question the attempt that began it, with the service of its route
     * @return the origin, empty if it is unknown; never fails
     */
    public Future<Optional<StreamOrigin>> find(OriginQuestion question) {
        OriginLookup.Answer own = answer(question);
        List<InstanceRecord> peers = tables.peers().ranked(question.attempt()).stream()
                .limit(LOOKUP_PEERS)
                .toList();
        if (own.origin().isPresent()) {
            return Future.succeededFuture(own.origin());
        }
        OriginLookup lookup = new OriginLookup(question.service(), question.windowMs());
        lookup.add(own);
        if (peers.isEmpty()) {
            return Future.succeededFuture(lookup.result());
        }
        return new PeerSurvey(question, lookup, peers).start();
    }

    /** Asks peers at the same time; ends with the first recorded origin, or when all have answered or failed. */
    private final class PeerSurvey {
        private final OriginQuestion question;
        private final OriginLookup lookup;
        private final List<InstanceRecord> peers;
        private final Promise<Optional<StreamOrigin>> result = Promise.promise();
        private int outstanding;
        private boolean answered;

        private PeerSurvey(OriginQuestion question, OriginLookup lookup, List<InstanceRecord> peers) {
            this.question = question;
            this.lookup = lookup;
            this.peers = peers;
            this.outstanding = peers.size();
        }

        private Future<Optional<StreamOrigin>> start() {
            peers.forEach(peer -> post(peer, PeerPaths.STREAM_ORIGIN_LOOKUP, question)
                    .map(body -> Json.read(body.getBytes(), OriginLookup.Answer.class))
                    .onSuccess(this::handleAnswer)
                    .onFailure(failure -> logFailure("stream_origin_not_answered", peer, question.attempt(), failure))
                    .onComplete(ended -> handleEnd()));
            return result.future();
        }

        private void handleAnswer(OriginLookup.Answer answer) {
            answered = true;
            lookup.add(answer);
            if (answer.origin().isPresent()) {
                result.tryComplete(lookup.result());
            }
        }

        private void handleEnd() {
            outstanding--;
            if (outstanding == 0) {
                // Without an answer this gateway may be cut off and not know the builds that serve now.
                result.tryComplete(answered ? lookup.result() : Optional.empty());
            }
        }
    }

    private Future<Buffer> post(InstanceRecord peer, String path, Object message) {
        Buffer body = Buffer.buffer(Json.write(message));
        HttpCall call = new HttpCall(peer.address(), HttpMethod.POST, path, Optional.of(body), CALL_TIMEOUT_MS);
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
