package org.pimentovale.daemon.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.pimentovale.daemon.http.AccessKey;
import org.pimentovale.daemon.http.BodyReader;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.log.Events;

/**
 * Answers other instances. Invariant: a message without the key, or one that is malformed, changes nothing. Thread
 * safe.
 */
public final class PeerListener {
    private static final Logger LOG = Logger.getLogger(PeerListener.class);
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private final ServingTables tables;
    private final AccessKey key;
    private final DaemonMetrics metrics;
    private final BodyReader bodyReader;
    private volatile Optional<PeerExchange> exchange = Optional.empty();

    /**
     * Creates a listener that is not open yet.
     *
     * @param vertx runs the listener
     * @param tables the shared tables
     * @param key the key that others must send
     * @param metrics counts messages
     */
    public PeerListener(Vertx vertx, ServingTables tables, AccessKey key, DaemonMetrics metrics) {
        this.tables = tables;
        this.key = key;
        this.metrics = metrics;
        this.bodyReader = new BodyReader(vertx, MAX_MESSAGE_BYTES);
    }

    /**
     * Connects the listener with the exchange that takes its messages.
     *
     * @param receiver the exchange
     */
    public void connect(PeerExchange receiver) {
        exchange = Optional.of(receiver);
    }

    /**
     * Answers one request of another instance.
     *
     * @param http the request
     */
    public void handle(HttpServerRequest http) {
        if (!key.matches(http)) {
            reject(http, ServingException.notRun(ErrorCode.UNAUTHORISED, "peer listener"));
            return;
        }
        if (http.path().equals("/v1/peer/configuration")) {
            tables.configuration()
                    .active()
                    .ifPresentOrElse(
                            active -> http.response().end(Buffer.buffer(Json.write(active))),
                            () -> reject(http, ServingException.notRun(ErrorCode.NOT_CONFIGURED, "none")));
            return;
        }
        bodyReader
                .read(http)
                .map(body -> parse(body.getBytes()))
                .onSuccess(message -> exchange.ifPresentOrElse(
                        receiver -> http.response().end(Buffer.buffer(Json.write(receiver.receive(message)))),
                        () -> reject(http, ServingException.notRun(ErrorCode.NOT_CONFIGURED, "starting"))))
                .onFailure(failure ->
                        reject(http, ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, failure.getMessage())));
    }

    private static PeerMessage parse(byte[] body) {
        PeerMessage message = Json.read(body, PeerMessage.class);
        if (!message.complete()) {
            throw ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "a part is missing");
        }
        return message;
    }

    private void reject(HttpServerRequest http, ServingException failure) {
        metrics.recordPeerMessage("received", "rejected");
        Events.warn(
                LOG,
                "peer_message_rejected",
                "remote",
                http.remoteAddress(),
                "code",
                failure.code().label());
        if (!http.response().ended()) {
            http.response().setStatusCode(failure.code().status()).end();
        }
    }
}
