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
import org.pimentovale.gateway.endpoint.EndpointResponseObserver;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.port.EndpointCodec;
import org.pimentovale.gateway.port.PieceRequest;
import org.pimentovale.gateway.port.PieceResult;
import org.pimentovale.gateway.port.ResponseHead;
import org.pimentovale.gateway.port.StageCodec;
import org.pimentovale.kernel.batch.TicketPiece;
import org.pimentovale.kernel.directory.Availability;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/** Sends calls to endpoints that process pieces of stages. Not thread safe; used on one event loop. */
public final class StageEndpointClient {
    private static final Logger LOG = Logger.getLogger(StageEndpointClient.class);
    private static final double TIMEOUT_FACTOR = 2.5;
    private static final int TIMEOUT_MARGIN_MS = 200;
    private static final int RELEASE_TIMEOUT_MS = 500;
    private static final int RELEASE_BATCH_DELAY_MS = 10;
    private static final long MAX_RELEASE_DELAY_MS = 5_000;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final TimedHttpClient client;
    private final TimedHttpClient releaseClient;
    private final GatewayTables tables;
    private final RequestPermits permits;
    private final EndpointResponseObserver observer;
    private final StageCodec codec;
    private final EndpointCodec endpointCodec;
    private final Map<String, List<String>> pendingReleases = new LinkedHashMap<>();

    /**
     * Creates a client.
     *
     * @param vertx delays releases
     * @param client opens a new connection for each call
     * @param releaseClient reuses connections; a release may be lost or delivered twice
     * @param tables provides the time and the endpoints
     * @param permits keeps to the rate limits that endpoints name
     * @param observer records what endpoints say about themselves in their responses
     * @param codec encodes calls and decodes results
     * @param endpointCodec decodes the heads of responses
     */
    public StageEndpointClient(
            Vertx vertx,
            TimedHttpClient client,
            TimedHttpClient releaseClient,
            GatewayTables tables,
            RequestPermits permits,
            EndpointResponseObserver observer,
            StageCodec codec,
            EndpointCodec endpointCodec) {
        this.vertx = vertx;
        this.client = client;
        this.releaseClient = releaseClient;
        this.tables = tables;
        this.permits = permits;
        this.observer = observer;
        this.codec = codec;
        this.endpointCodec = endpointCodec;
    }

    /**
     * Sends pieces to an endpoint. The timeout of the call is derived from its expected duration.
     *
     * @param endpoint the endpoint that processes the pieces
     * @param pieces the pieces of the call
     * @param expectedMs expected duration of the call, in milliseconds
     * @return one result per piece, in order; fails with the outcome "not run" if the endpoint declares so, then with
     *     {@link ErrorCode#OVERLOADED} if the endpoint has no free slot
     */
    public Future<List<PieceResult>> run(EndpointRecord endpoint, List<TicketPiece> pieces, double expectedMs) {
        List<PieceRequest> requests = pieces.stream().map(this::pieceRequest).toList();
        int timeoutMs = (int) (expectedMs * TIMEOUT_FACTOR) + TIMEOUT_MARGIN_MS;
        return post(
                        client,
                        endpoint.address(),
                        codec.runPath(),
                        codec.headers(endpoint.identifier()),
                        codec.encodePieces(requests),
                        timeoutMs)
                .map(response -> {
                    observe(endpoint, response);
                    if (response.status() != STATUS_OK) {
                        throw toFailure(response);
                    }
                    return codec.decodeResults(response.body(), pieces.size());
                });
    }

    private void observe(EndpointRecord endpoint, HttpResponse response) {
        ResponseHead head = endpointCodec.readResponseHead(response.status(), response.headers());
        observer.observe(endpoint, head, response.status() == STATUS_OK);
    }

    private PieceRequest pieceRequest(TicketPiece piece) {
        return new PieceRequest(piece, Math.max(1, piece.ticket().deadlineMs() - tables.nowMs()));
    }

    private ServingException toFailure(HttpResponse response) {
        String detail = "status " + response.status();
        if (!endpointCodec
                .readResponseHead(response.status(), response.headers())
                .notRun()) {
            return ServingException.unknown(ErrorCode.ENDPOINT_FAILED, detail);
        }
        ErrorCode code = response.status() == STATUS_UNAVAILABLE ? ErrorCode.OVERLOADED : ErrorCode.ENDPOINT_FAILED;
        return ServingException.notRun(code, detail);
    }

    /**
     * Releases results after a short delay, in one call with other results of the same endpoint.
     *
     * @param handles the handles of the results
     * @param released receives the handles that an endpoint has released
     */
    public void release(List<String> handles, Consumer<List<String>> released) {
        for (String handle : handles) {
            String address = codec.addressOf(handle);
            List<String> handlesAtAddress = pendingReleases.get(address);
            if (handlesAtAddress == null) {
                handlesAtAddress = new ArrayList<>();
                pendingReleases.put(address, handlesAtAddress);
                vertx.setTimer(RELEASE_BATCH_DELAY_MS, fired -> sendReleases(address, released));
            }
            handlesAtAddress.add(handle);
        }
    }

    private void sendReleases(String address, Consumer<List<String>> released) {
        List<String> handles = pendingReleases.remove(address);
        // Another endpoint may use the address by now, so the release is sent only to an endpoint that is listed there,
        // and names it.
        Optional<EndpointState> target = tables.endpoints().allEndpoints().stream()
                .filter(endpoint -> endpoint.latest().address().equals(address))
                .findFirst();
        if (target.isEmpty() || handles == null) {
            return;
        }
        Availability availability = tables.endpoints().availability(target.get(), tables.nowMs());
        if (availability == Availability.LEAVING) {
            return; // its results are gone soon
        }
        if (availability == Availability.THROTTLED) {
            releaseLater(target.get(), handles, released);
            return;
        }
        permits.recordSentByOwner(target.get());
        sendRelease(target.get().latest(), handles, released);
    }

    /** Releases results when their endpoint takes requests again, unless they have expired by then. */
    private void releaseLater(EndpointState endpoint, List<String> handles, Consumer<List<String>> released) {
        long delayMs = tables.endpoints().returnMs(endpoint, tables.nowMs()).orElse(0);
        if (delayMs > MAX_RELEASE_DELAY_MS) {
            logReleaseFailure(endpoint.latest(), handles, "takes no requests for " + delayMs + " ms");
            return;
        }
        vertx.setTimer(Math.max(1, delayMs), fired -> release(handles, released));
    }

    private void sendRelease(EndpointRecord endpoint, List<String> handles, Consumer<List<String>> released) {
        post(
                        releaseClient,
                        endpoint.address(),
                        codec.releasePath(),
                        codec.headers(endpoint.identifier()),
                        codec.encodeRelease(handles),
                        RELEASE_TIMEOUT_MS)
                .onSuccess(response -> handleReleaseResponse(endpoint, handles, response, released))
                .onFailure(failure -> logReleaseFailure(endpoint, handles, failure.getMessage()));
    }

    private void handleReleaseResponse(
            EndpointRecord endpoint, List<String> handles, HttpResponse response, Consumer<List<String>> released) {
        observe(endpoint, response);
        if (response.status() == STATUS_OK) {
            released.accept(handles);
        } else {
            logReleaseFailure(endpoint, handles, "status " + response.status());
        }
    }

    private static void logReleaseFailure(EndpointRecord endpoint, List<String> handles, String failure) {
        Events.info(
                LOG,
                "release_failed",
                "endpoint",
                endpoint.identifier(),
                "results",
                handles.size(),
                "failure",
                failure);
    }

    private static Future<HttpResponse> post(
            TimedHttpClient sender, String address, String path, MultiMap headers, Buffer body, int timeoutMs) {
        return sender.call(new HttpCall(address, HttpMethod.POST, path, Optional.of(body), timeoutMs), headers);
    }
}
