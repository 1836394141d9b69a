package org.pimentovale.gateway.limit;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalDouble;
import org.jboss.logging.Logger;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.peer.PeerPaths;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.json.Json;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.limit.EndpointRateLimiter;
import org.pimentovale.kernel.limit.NamedLimit;
import org.pimentovale.kernel.limit.Permit;
import org.pimentovale.log.Events;
import org.pimentovale.store.http.HttpCall;
import org.pimentovale.store.http.HttpResponse;
import org.pimentovale.store.http.TimedHttpClient;

/**
 * Keeps all gateways together to the rate limits that endpoints name. The owner of an endpoint's service grants the
 * permits; without its answer nothing is sent. Not thread safe; used on one event loop.
 */
public final class RequestPermits {
    private static final Logger LOG = Logger.getLogger(RequestPermits.class);
    private static final int PERMIT_TIMEOUT_MS = 150;
    private static final long WAIT_WITHOUT_OWNER_MS = 100;
    private static final int STATUS_OK = 200;

    private final GatewayTables tables;
    private final TimedHttpClient peerClient;
    private final EndpointRateLimiter limiter = new EndpointRateLimiter();

    /**
     * Creates permits without grants.
     *
     * @param tables provides the time and the owners of services
     * @param peerClient sends requests to peers
     */
    public RequestPermits(GatewayTables tables, TimedHttpClient peerClient) {
        this.tables = tables;
        this.peerClient = peerClient;
    }

    /**
     * Asks for a permit to send one request to an endpoint. After a refusal the endpoint is not usable for some time.
     *
     * @param endpoint the endpoint
     * @return whether the request may be sent; never fails
     */
    public Future<Boolean> acquire(EndpointState endpoint) {
        Optional<NamedLimit> limit = endpoint.requestLimit();
        if (limit.isEmpty()) {
            return Future.succeededFuture(true);
        }
        EndpointRecord latest = endpoint.latest();
        return tables.peers()
                .owner(latest.service())
                .map(owner -> askOwner(owner, latest, limit.get()))
                .orElseGet(() ->
                        Future.succeededFuture(limiter.acquire(latest.incarnation(), limit.get(), tables.nowMs())))
                .map(permit -> apply(endpoint, permit));
    }

    /**
     * Tells whether this gateway, as the owner of the endpoint's service, may send a request to it now.
     *
     * @param endpoint the endpoint
     * @return whether a permit would be granted
     */
    public boolean mayBeSentByOwner(EndpointState endpoint) {
        return endpoint.requestLimit()
                .map(limit -> limiter.waitMs(endpoint.latest().incarnation(), limit, tables.nowMs()) == 0)
                .orElse(true);
    }

    /**
     * Records a request that this gateway sends to an endpoint as the owner of its service.
     *
     * @param endpoint the endpoint
     */
    public void recordSentByOwner(EndpointState endpoint) {
        endpoint.requestLimit()
                .ifPresent(limit -> limiter.recordSent(endpoint.latest().incarnation(), limit, tables.nowMs()));
    }

    private Future<Permit> askOwner(InstanceRecord owner, EndpointRecord endpoint, NamedLimit limit) {
        PermitRequest request = new PermitRequest(
                endpoint.incarnation(), limit.requestsPerSecond(), tables.nowMs() - limit.namedAtMs());
        return post(owner, PeerPaths.PERMIT, request)
                .map(response -> response.status() == STATUS_OK
                        ? Json.read(response.body().getBytes(), Permit.class)
                        : Permit.denied(WAIT_WITHOUT_OWNER_MS))
                .otherwise(failure -> {
                    Events.info(
                            LOG,
                            "permit_failed",
                            "owner",
                            owner.name(),
                            "endpoint",
                            endpoint.identifier(),
                            "failure",
                            failure.getMessage());
                    return Permit.denied(WAIT_WITHOUT_OWNER_MS);
                });
    }

    private boolean apply(EndpointState endpoint, Permit permit) {
        if (permit.limitLifted()) {
            endpoint.recordRequestLimit(OptionalDouble.empty(), tables.nowMs());
        } else if (!permit.allowed()) {
            endpoint.withholdUntil(tables.nowMs() + permit.waitMs());
            Events.info(
                    LOG,
                    "permit_denied",
                    "endpoint",
                    endpoint.latest().identifier(),
                    "requests_per_second",
                    endpoint.requestLimit().map(NamedLimit::requestsPerSecond).orElse(0.0),
                    "wait_ms",
                    permit.waitMs());
        }
        return permit.allowed();
    }

    /**
     * Answers another gateway that asks for a permit.
     *
     * @param request the question
     * @return the permit or its refusal
     */
    public Permit handleRequest(PermitRequest request) {
        NamedLimit limit = new NamedLimit(request.requestsPerSecond(), tables.nowMs() - request.ageMs());
        return limiter.acquire(request.incarnation(), limit, tables.nowMs());
    }

    /**
     * Records the limit that an endpoint named in a response, or that it named none.
     *
     * @param endpoint the endpoint
     * @param requestsPerSecond the limit, empty if the response names none
     * @param complete whether the response shows that there is no limit if it names none; a refusal does not
     */
    public void recordResponse(EndpointState endpoint, OptionalDouble requestsPerSecond, boolean complete) {
        boolean ignored = requestsPerSecond.isEmpty() && !complete;
        if (ignored || !endpoint.recordRequestLimit(requestsPerSecond, tables.nowMs())) {
            return;
        }
        Events.info(
                LOG,
                "endpoint_limit_changed",
                "endpoint",
                endpoint.latest().identifier(),
                "requests_per_second",
                requestsPerSecond);
        if (requestsPerSecond.isEmpty()) {
            announceLifted(endpoint.latest());
        }
    }

    private void announceLifted(EndpointRecord endpoint) {
        LiftedLimit lifted = new LiftedLimit(endpoint.incarnation());
        Optional<InstanceRecord> owner = tables.peers().owner(endpoint.service());
        if (owner.isEmpty()) {
            handleLifted(lifted);
            return;
        }
        post(owner.get(), PeerPaths.LIMIT_LIFTED, lifted)
                .onFailure(failure -> Events.info(
                        LOG, "limit_lifted_not_sent", "owner", owner.get().name(), "failure", failure.getMessage()));
    }

    /**
     * Handles the message of another gateway that an endpoint names no limit any more.
     *
     * @param lifted the message
     */
    public void handleLifted(LiftedLimit lifted) {
        limiter.recordLifted(lifted.incarnation(), tables.nowMs());
    }

    private Future<HttpResponse> post(InstanceRecord peer, String path, Object message) {
        HttpCall call = new HttpCall(
                peer.address(),
                HttpMethod.POST,
                path,
                Optional.of(Buffer.buffer(Json.write(message))),
                PERMIT_TIMEOUT_MS);
        return peerClient.call(call, MultiMap.caseInsensitiveMultiMap());
    }
}
