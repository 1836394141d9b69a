package org.pimentovale.gateway.suspect;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.quarantine.LostRequest;

/**
 * Tells lost endpoints from lost connections: an endpoint is lost if it refuses a new connection.
 *
 * <p>The connections to a lost endpoint end at the same time, so its requests are collected until the check has ended
 * and reported together. Not thread safe; used on one event loop.
 */
final class LossDetector {
    private static final int CONNECT_TIMEOUT_MS = 250;

    private final NetClient client;
    private final Consumer<LossReport> onLoss;
    private final Map<String, List<LostRequest>> pending = new HashMap<>();

    /**
     * Creates a detector.
     *
     * @param vertx opens connections to endpoints
     * @param onLoss receives a report for each lost endpoint with requests that it had not begun to answer
     */
    LossDetector(Vertx vertx, Consumer<LossReport> onLoss) {
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
        this.onLoss = onLoss;
    }

    /**
     * Checks an endpoint after the connection of a request was lost.
     *
     * @param endpoint the endpoint
     * @param request the request
     */
    void check(EndpointRecord endpoint, LostRequest request) {
        String incarnation = endpoint.incarnation();
        List<LostRequest> requests = pending.get(incarnation);
        if (requests != null) {
            requests.add(request);
            return;
        }
        pending.put(incarnation, new ArrayList<>(List.of(request)));
        String address = endpoint.address();
        int colon = address.lastIndexOf(':');
        client.connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
                .onSuccess(NetSocket::close)
                .onComplete(result -> finish(incarnation, result.cause()));
    }

    private void finish(String incarnation, Throwable failure) {
        List<LostRequest> requests = pending.remove(incarnation);
        // A timeout may be caused by the network; only a refused connection shows that the endpoint is down.
        if (failure != null && !(failure instanceof ConnectTimeoutException)) {
            onLoss.accept(new LossReport(incarnation, requests));
        }
    }

    /** Closes the connections of running checks. */
    void close() {
        client.close();
    }
}
