package org.pimentovale.daemon.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.LongSupplier;
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
 * Serves the requests of other instances. Invariant: a request without the key and a malformed message change nothing.
 * Thread safe.
 */
public final class PeerListener {
    private static final Logger LOG = Logger.getLogger(PeerListener.class);
    static final String WRITTEN_CLAIMS_PATH = "/v1/peer/written-claims";

    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private final ServingTables tables;
    private final AccessKey key;
    private final DaemonMetrics metrics;
    private final LongSupplier writtenClaimsEra;
    private final BodyReader bodyReader;
    private volatile Optional<PeerExchange> exchange = Optional.empty();

    /**
     * Creates the request handler of the listener.
     *
     * @param vertx runs the timers
     * @param tables the shared tables
     * @param key the key that other instances must send
     * @param metrics counts the messages
     * @param writtenClaimsEra returns the era of the store in which this instance has written its claims again
     */
    public PeerListener(
            Vertx vertx, ServingTables tables, AccessKey key, DaemonMetrics metrics, LongSupplier writtenClaimsEra) {
        this.tables = tables;
        this.key = key;
        this.metrics = metrics;
        this.writtenClaimsEra = writtenClaimsEra;
        this.bodyReader = new BodyReader(vertx, MAX_MESSAGE_BYTES);
    }

    /**
     * Sets the exchange that processes received messages. Messages are rejected before this call.
     *
     * @param receiver the exchange
     */
    public void connect(PeerExchange receiver) {
        exchange = Optional.of(receiver);
    }

    /**
     * Handles a request of another instance.
     *
     * @param http the request, whose response is ended here
     */
    public void handle(HttpServerRequest http) {
        if (!key.matches(http)) {
            reject(http, ServingException.notRun(ErrorCode.UNAUTHORISED, "missing or wrong key at the peer listener"));
            return;
        }
        if (http.path().equals("/v1/peer/configuration")) {
            tables.configuration()
                    .active()
                    .ifPresentOrElse(
                            active -> http.response().end(Buffer.buffer(Json.write(active))),
                            () -> reject(
                                    http,
                                    ServingException.notRun(ErrorCode.NOT_CONFIGURED, "no active configuration")));
            return;
        }
        if (http.path().equals(WRITTEN_CLAIMS_PATH)) {
            PeerMessage.WrittenClaims written = new PeerMessage.WrittenClaims(writtenClaimsEra.getAsLong());
            http.response().end(Buffer.buffer(Json.write(written)));
            return;
        }
        bodyReader
                .read(http)
                .map(body -> parse(body.getBytes()))
                .onSuccess(message -> exchange.ifPresentOrElse(
                        receiver -> http.response().end(Buffer.buffer(Json.write(receiver.receive(message)))),
                        () -> reject(
                                http, ServingException.notRun(ErrorCode.NOT_CONFIGURED, "the instance is starting"))))
                .onFailure(failure ->
                        reject(http, ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, failure.getMessage())));
    }

    private static PeerMessage parse(byte[] body) {
        PeerMessage message = Json.read(body, PeerMessage.class);
        if (!message.complete()) {
            throw ServingException.notRun(ErrorCode.PEER_MESSAGE_INVALID, "a required field is missing");
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
