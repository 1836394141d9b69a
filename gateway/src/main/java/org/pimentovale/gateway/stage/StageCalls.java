package org.pimentovale.gateway.stage;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.port.EndpointDialect;
import org.pimentovale.gateway.port.PieceOrder;
import org.pimentovale.gateway.port.PieceResult;
import org.pimentovale.gateway.port.StageDialect;
import org.pimentovale.kernel.batch.TicketPiece;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/** Makes the calls to endpoints that work on pieces. Not thread safe; used on one event loop. */
public final class StageCalls {
    private static final Logger LOG = Logger.getLogger(StageCalls.class);
    private static final double TIMEOUT_FACTOR = 2.5;
    private static final int TIMEOUT_SLACK_MS = 200;
    private static final int RELEASE_TIMEOUT_MS = 500;
    private static final int RELEASE_DELAY_MS = 10;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final TimedHttpClient client;
    private final TimedHttpClient releaseClient;
    private final GatewayTables tables;
    private final StageDialect dialect;
    private final EndpointDialect endpointDialect;
    private final Map<String, List<String>> releases = new LinkedHashMap<>();

    /**
     * Creates calls.
     *
     * @param vertx runs timers
     * @param client makes a connection for each call
     * @param releaseClient keeps connections; a release may be lost or come twice
     * @param tables tells the time and the endpoints
     * @param dialect encodes pieces
     * @param endpointDialect decodes heads of answers
     */
    public StageCalls(
            Vertx vertx,
            TimedHttpClient client,
            TimedHttpClient releaseClient,
            GatewayTables tables,
            StageDialect dialect,
            EndpointDialect endpointDialect) {
        this.vertx = vertx;
        this.client = client;
        this.releaseClient = releaseClient;
        this.tables = tables;
        this.dialect = dialect;
        this.endpointDialect = endpointDialect;
    }

    /**
     * Runs pieces.
     *
     * @param endpoint where
     * @param pieces the pieces
     * @param expectedMs how long the call should take
     * @return one result a piece; fails as not run where the endpoint says so, with
     *     {@link ErrorCode#OVERLOADED} where it was full
     */
    public Future<List<PieceResult>> run(EndpointRecord endpoint, List<TicketPiece> pieces, double expectedMs) {
        List<PieceOrder> orders = pieces.stream().map(this::order).toList();
        int timeoutMs = (int) (expectedMs * TIMEOUT_FACTOR) + TIMEOUT_SLACK_MS;
        return post(
                        client,
                        endpoint.address(),
                        dialect.runPath(),
                        dialect.headers(endpoint.identifier()),
                        dialect.encodePieces(orders),
                        timeoutMs)
                .map(answer -> {
                    if (answer.status() != STATUS_OK) {
                        throw refused(answer);
                    }
                    return dialect.decodeResults(answer.body(), pieces.size());
                });
    }

    private PieceOrder order(TicketPiece piece) {
        return new PieceOrder(piece, Math.max(1, piece.ticket().deadlineMs() - tables.nowMs()));
    }

    private ServingException refused(HttpResponse answer) {
        String detail = "status " + answer.status();
        if (!endpointDialect.readHead(answer.status(), answer.headers()).notRun()) {
            return ServingException.unknown(ErrorCode.ENDPOINT_FAILED, detail);
        }
        ErrorCode code = answer.status() == STATUS_UNAVAILABLE ? ErrorCode.OVERLOADED : ErrorCode.ENDPOINT_FAILED;
        return ServingException.notRun(code, detail);
    }

    /**
     * Releases results shortly afterwards, together with others of the same endpoint.
     *
     * @param handles the results
     * @param released is told which results their endpoint has released
     */
    public void release(List<String> handles, Consumer<List<String>> released) {
        for (String handle : handles) {
            String address = dialect.addressOf(handle);
            List<String> sameEndpoint = releases.get(address);
            if (sameEndpoint == null) {
                sameEndpoint = new ArrayList<>();
                releases.put(address, sameEndpoint);
                vertx.setTimer(RELEASE_DELAY_MS, fired -> sendReleases(address, released));
            }
            sameEndpoint.add(handle);
        }
    }

    private void sendReleases(String address, Consumer<List<String>> released) {
        List<String> handles = releases.remove(address);
        // An address may belong to another endpoint by now; only one that is still listed is told.
        Optional<EndpointRecord> owner = tables.endpoints().allEndpoints().stream()
                .map(endpoint -> endpoint.latest())
                .filter(latest -> latest.address().equals(address))
                .findFirst();
        if (owner.isEmpty() || handles == null) {
            return;
        }
        post(
                        releaseClient,
                        address,
                        dialect.releasePath(),
                        dialect.headers(owner.get().identifier()),
                        dialect.encodeRelease(handles),
                        RELEASE_TIMEOUT_MS)
                .onSuccess(answer -> released.accept(handles))
                .onFailure(failure -> Events.info(
                        LOG,
                        "release_failed",
                        "endpoint",
                        owner.get().identifier(),
                        "results",
                        handles.size(),
                        "failure",
                        failure.getMessage()));
    }

    private static Future<HttpResponse> post(
            TimedHttpClient sender, String address, String path, MultiMap headers, Buffer body, int timeoutMs) {
        return sender.call(new HttpCall(address, HttpMethod.POST, path, Optional.of(body), timeoutMs), headers);
    }
}
