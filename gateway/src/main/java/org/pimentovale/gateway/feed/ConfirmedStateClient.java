package org.pimentovale.gateway.feed;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.peer.PeerTable;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Asks peers at the start of a gateway what was confirmed before the store was restored.
 *
 * <p>A gateway that starts between a restore and the writers' second writes would otherwise believe the older content.
 * Not thread safe; used on one event loop.
 */
public final class ConfirmedStateClient {
    private static final Logger LOG = Logger.getLogger(ConfirmedStateClient.class);
    private static final int MAX_PEERS = 3;
    private static final int CALL_TIMEOUT_MS = 300;

    private final PeerTable peers;
    private final TimedHttpClient client;

    /**
     * Creates a client.
     *
     * @param peers the peers
     * @param client sends requests to peers
     */
    public ConfirmedStateClient(PeerTable peers, TimedHttpClient client) {
        this.peers = peers;
        this.client = client;
    }

    /**
     * Asks some peers at the same time.
     *
     * @param receiver receives the state of each peer that answers
     * @return completes when all have answered or failed; never fails
     */
    Future<Void> ask(Consumer<ConfirmedState> receiver) {
        List<Future<Void>> calls = peers.ranked(peers.self().name()).stream()
                .limit(MAX_PEERS)
                .map(peer -> ask(peer, receiver))
                .toList();
        return Future.join(calls).mapEmpty();
    }

    private Future<Void> ask(InstanceRecord peer, Consumer<ConfirmedState> receiver) {
        HttpCall call =
                new HttpCall(peer.address(), HttpMethod.GET, PeerPaths.CONFIRMED, Optional.empty(), CALL_TIMEOUT_MS);
        return client.call(call, MultiMap.caseInsensitiveMultiMap())
                .map(response -> Json.read(response.body().getBytes(), ConfirmedState.class))
                .onSuccess(receiver::accept)
                .onFailure(failure -> Events.info(
                        LOG, "confirmed_state_not_answered", "peer", peer.name(), "failure", failure.getMessage()))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }
}
