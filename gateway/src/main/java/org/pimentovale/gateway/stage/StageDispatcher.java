package org.pimentovale.gateway.stage;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.Outcome;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.GatewayTables;
import org.pimentovale.gateway.limit.RequestPermits;
import org.pimentovale.gateway.metric.GatewayMetrics;
import org.pimentovale.gateway.port.PieceResult;
import org.pimentovale.gateway.port.PieceResult.PieceFailure;
import org.pimentovale.gateway.rollout.CallSample;
import org.pimentovale.kernel.batch.CallTarget;
import org.pimentovale.kernel.batch.RejectedTicket;
import org.pimentovale.kernel.batch.ResultCapacity;
import org.pimentovale.kernel.batch.StageQueue;
import org.pimentovale.kernel.batch.StageTicket;
import org.pimentovale.kernel.batch.TicketPiece;
import org.pimentovale.kernel.directory.Availability;
import org.pimentovale.kernel.directory.EndpointState;
import org.pimentovale.kernel.placement.ServiceSpeeds;
import org.pimentovale.kernel.placement.StageCallOrder;
import org.pimentovale.kernel.rollout.SendKind;
import org.pimentovale.kernel.serving.PieceLimits;
import org.pimentovale.kernel.serving.ServingService;
import org.pimentovale.log.Events;

/**
 * Queues the pieces of one service and sends them to endpoints in calls.
 *
 * <p>A call is composed only when an endpoint has a free call slot, so that it contains the most urgent pieces at that
 * time. Invariant: this dispatcher runs at most the configured number of concurrent calls at an endpoint. Not thread
 * safe; used on one event loop.
 */
public final class StageDispatcher {
    private static final Logger LOG = Logger.getLogger(StageDispatcher.class);
    private static final int RECHECK_INTERVAL_MS = 25;
    private static final long OVERLOADED_BACKOFF_MS = 40;
    private static final long CAPACITY_EXHAUSTED_BACKOFF_MS = 250;
    private static final double SLOW_LATENCY_RATIO = 2;
    private static final long LATENCY_RATIO_VALID_MS = 2_500;
    private static final int MAX_FAILURES_PER_PIECE = 6;
    private static final long MIN_RETRY_AFTER_MS = 300;
    private static final double USABLE_CAPACITY_SHARE = 0.9; // result sizes are estimates
    private static final double SPARE_CAPACITY_SHARE = 0.25;
    private static final long MS_PER_SECOND = 1_000;

    private final Vertx vertx;
    private final GatewayTables tables;
    private final StageEndpointClient endpointClient;
    private final RequestPermits permits;
    private final GatewayMetrics metrics;
    private final String service;
    private final StageQueue queue;
    private final ResultCapacity resultCapacity = new ResultCapacity();
    private final Map<StageTicket, Promise<List<String>>> pendingResults = new LinkedHashMap<>();
    private final Map<StageTicket, Integer> failureCounts = new HashMap<>();
    private final Map<String, Integer> runningCalls = new HashMap<>();
    private final Map<String, Long> backoffUntilMs = new HashMap<>();
    private boolean recheckScheduled;
    private long unknownResultCount;

    /**
     * Creates a dispatcher with an empty queue.
     *
     * @param vertx schedules rechecks of the queue
     * @param tables provides the time, the configuration and the endpoints
     * @param endpointClient sends the calls
     * @param permits keeps to the rate limits that endpoints name
     * @param metrics counts calls
     * @param service the service's name
     * @param queue the empty queue of the service
     */
    public StageDispatcher(
            Vertx vertx,
            GatewayTables tables,
            StageEndpointClient endpointClient,
            RequestPermits permits,
            GatewayMetrics metrics,
            String service,
            StageQueue queue) {
        this.vertx = vertx;
        this.tables = tables;
        this.endpointClient = endpointClient;
        this.permits = permits;
        this.metrics = metrics;
        this.service = service;
        this.queue = queue;
    }

    /**
     * Adds a ticket to the queue.
     *
     * @param ticket a ticket that was not submitted before
     * @return the handles, one per piece; fails with a {@link ServingException}
     */
    public Future<List<String>> submit(StageTicket ticket) {
        Promise<List<String>> results = Promise.promise();
        pendingResults.put(ticket, results);
        tables.pieceRetryBudget(service).recordFirstAttempt(tables.nowMs());
        queue.add(ticket);
        dispatch();
        return results.future();
    }

    /**
     * Removes a ticket whose results are no longer needed, and releases those it already has.
     *
     * @param ticket the ticket to cancel; ignored if it has ended
     */
    public void cancel(StageTicket ticket) {
        if (pendingResults.containsKey(ticket)) {
            closeTicket(ticket);
            release(ticket.handles());
        }
    }

    /**
     * Releases results at the endpoints that store them.
     *
     * @param handles the handles of the results
     */
    public void release(List<String> handles) {
        endpointClient.release(handles, released -> {
            released.forEach(resultCapacity::releaseResult);
            dispatch();
        });
    }

    /**
     * Returns the number of open tickets.
     *
     * @return the number of tickets without results or failure
     */
    public int openTickets() {
        return pendingResults.size();
    }

    /**
     * Fails the tickets that have not started with {@link ErrorCode#INSTANCE_DRAINING}, so that another gateway takes
     * them over.
     */
    public void failUnstarted() {
        List<StageTicket> unstarted =
                pendingResults.keySet().stream().filter(StageTicket::unstarted).toList();
        unstarted.forEach(ticket -> fail(ticket, ErrorCode.INSTANCE_DRAINING, "returned unstarted"));
    }

    /**
     * Fails the tickets whose waiting pieces cannot be done by a certain time with
     * {@link ErrorCode#INSTANCE_DRAINING}, so that another gateway takes them over.
     *
     * @param endMs the time when this gateway ends, in milliseconds of the monotonic clock
     */
    public void failUnfinishable(long endMs) {
        limits().ifPresent(limits -> queue.ticketsEndingAfter(
                        limits, tables.endpoints().usable(service).size(), endMs, tables.nowMs())
                .forEach(
                        ticket -> fail(ticket, ErrorCode.INSTANCE_DRAINING, "would not end before the shutdown does")));
    }

    /** Starts calls while there are queued pieces and available endpoints. */
    public void dispatch() {
        Optional<PieceLimits> limits = limits();
        if (pendingResults.isEmpty()) {
            return;
        }
        long nowMs = tables.nowMs();
        if (limits.isPresent()) {
            resultCapacity.releaseExpired(nowMs);
            List<EndpointState> usable =
                    tables.rollouts().admitted(service, tables.endpoints().usable(service), SendKind.FIRST);
            queue.rejectLateTickets(limits.get(), usable.size(), startDelayMs(usable, nowMs), nowMs)
                    .forEach(this::failRejected);
            while (queue.waitingPieces() > 0 && startCall(limits.get(), nowMs)) {
                nowMs = tables.nowMs();
            }
        }
        scheduleRecheck();
    }

    /** Returns the time until the first endpoint takes calls, positive if all have refused calls for some time. */
    private long startDelayMs(List<EndpointState> usable, long nowMs) {
        return usable.stream()
                .mapToLong(
                        endpoint -> tables.endpoints().returnMs(endpoint, nowMs).orElse(0))
                .min()
                .orElse(0);
    }

    private void failRejected(RejectedTicket rejected) {
        ServingException failure = ServingException.notRun(
                        ErrorCode.DEADLINE_UNREACHABLE,
                        service + ": cannot start in time, estimated wait in milliseconds: "
                                + rejected.expectedWaitMs())
                .withRetryAfter(Math.max(MIN_RETRY_AFTER_MS, rejected.expectedWaitMs()));
        fail(rejected.ticket(), failure);
    }

    private Optional<PieceLimits> limits() {
        return tables.configuration()
                .flatMap(configuration -> configuration.service(service))
                .flatMap(ServingService::pieces);
    }

    private boolean startCall(PieceLimits limits, long nowMs) {
        List<EndpointState> usable =
                tables.rollouts().admitted(service, tables.endpoints().usable(service), SendKind.FIRST);
        boolean anyFast = usable.stream().anyMatch(endpoint -> !isSlow(endpoint, nowMs));
        List<EndpointState> free = usable.stream()
                .filter(endpoint -> isAvailable(endpoint, limits, nowMs))
                .filter(endpoint -> !anyFast || !isSlow(endpoint, nowMs))
                .toList();
        ServiceSpeeds speeds = tables.speeds(service);
        List<EndpointState> available = StageCallOrder.order(
                tables.rollouts().preferred(service, free, SendKind.FIRST),
                usable,
                endpoint -> speeds.factor(endpoint.latest().incarnation(), nowMs),
                nowMs);
        Set<String> availableZones = zones(available.stream().filter(endpoint -> hasSpareCapacity(endpoint, limits)));
        Map<String, Integer> endpointsPerZone = new HashMap<>();
        usable.forEach(endpoint -> endpointsPerZone.merge(endpoint.latest().zone(), 1, Integer::sum));
        for (EndpointState endpoint : available) {
            CallTarget target = new CallTarget(
                    endpoint.latest().zone(), availableResultBytes(endpoint, limits), availableZones, endpointsPerZone);
            List<TicketPiece> pieces = queue.takePieces(limits, target, nowMs);
            if (!pieces.isEmpty()) {
                sendCall(endpoint, pieces, limits);
                return true;
            }
        }
        return false;
    }

    private static Set<String> zones(Stream<EndpointState> endpoints) {
        return endpoints.map(endpoint -> endpoint.latest().zone()).collect(Collectors.toSet());
    }

    private long availableResultBytes(EndpointState endpoint, PieceLimits limits) {
        return resultCapacity.availableBytes(
                endpoint.latest().identifier(), limits.resultMegabytes() * USABLE_CAPACITY_SHARE);
    }

    private boolean hasSpareCapacity(EndpointState endpoint, PieceLimits limits) {
        return availableResultBytes(endpoint, limits)
                > SPARE_CAPACITY_SHARE * resultCapacity.availableBytes("", limits.resultMegabytes());
    }

    private boolean isAvailable(EndpointState endpoint, PieceLimits limits, long nowMs) {
        String identifier = endpoint.latest().identifier();
        return runningCalls.getOrDefault(identifier, 0) < limits.concurrentCalls()
                && nowMs >= backoffUntilMs.getOrDefault(identifier, Long.MIN_VALUE)
                && !endpoint.inBackoff(nowMs)
                && availability(endpoint, nowMs) == Availability.AVAILABLE
                && permits.mayBeSentByOwner(endpoint);
    }

    private Availability availability(EndpointState endpoint, long nowMs) {
        return tables.endpoints().availability(endpoint, nowMs);
    }

    private static boolean isSlow(EndpointState endpoint, long nowMs) {
        return endpoint.latencyRatio() > SLOW_LATENCY_RATIO
                && nowMs - endpoint.latencyRatioAtMs() < LATENCY_RATIO_VALID_MS;
    }

    private void sendCall(EndpointState endpoint, List<TicketPiece> pieces, PieceLimits limits) {
        String identifier = endpoint.latest().identifier();
        long startedAtMs = tables.nowMs();
        long bytes = pieces.stream()
                .mapToLong(piece -> piece.ticket().work().resultBytes())
                .sum();
        resultCapacity.reserve(identifier, bytes);
        runningCalls.merge(identifier, 1, Integer::sum);
        permits.recordSentByOwner(endpoint);
        metrics.recordStageCall(service, pieces.size());
        double expectedMs = limits.durationMs(pieces.size()) * Math.max(1, endpoint.latencyRatio());
        Events.info(
                LOG,
                "stage_call",
                "service",
                service,
                "endpoint",
                identifier,
                "pieces",
                pieces.size(),
                "waiting",
                queue.waitingPieces(),
                "first",
                pieces.get(0).ticket().work().requestId());
        CallSample sample = tables.rollouts().begin(endpoint.latest(), service, endpoint.cold(startedAtMs));
        endpointClient.run(endpoint.latest(), pieces, expectedMs).onComplete(result -> {
            StageSamples.record(sample, result);
            runningCalls.merge(identifier, -1, Integer::sum);
            if (result.succeeded()) {
                double ratio = (tables.nowMs() - startedAtMs) / limits.durationMs(pieces.size());
                recordSpeed(endpoint, limits.durationMs(pieces.size()), ratio);
                endpoint.recordSuccess();
                endpoint.recordLatencyRatio(ratio, tables.nowMs());
                handleResults(identifier, pieces, result.result(), limits);
            } else {
                long retentionMs = (long) (limits.retentionSeconds() * MS_PER_SECOND);
                handleCallFailure(endpoint, pieces, ServingException.of(result.cause()), retentionMs);
            }
            dispatch();
        });
    }

    private void recordSpeed(EndpointState endpoint, double usualMs, double ratio) {
        long nowMs = tables.nowMs();
        double slowdown = endpoint.load().estimateSlowdown(1, nowMs);
        tables.speeds(service)
                .record(service, endpoint.latest().incarnation(), usualMs, usualMs * ratio, slowdown, nowMs);
    }

    private void handleResults(
            String endpoint, List<TicketPiece> pieces, List<PieceResult> results, PieceLimits limits) {
        long expiresAtMs = tables.nowMs() + (long) (limits.retentionSeconds() * MS_PER_SECOND);
        for (int position = 0; position < pieces.size(); position++) {
            TicketPiece piece = pieces.get(position);
            PieceResult result = results.get(position);
            long bytes = piece.ticket().work().resultBytes();
            if (result.handle().isPresent()) {
                resultCapacity.recordResult(result.handle().get(), endpoint, bytes, expiresAtMs);
                recordHandle(piece, result.handle().get());
            } else {
                resultCapacity.releaseReservation(endpoint, bytes);
                handlePieceFailure(endpoint, piece, result.failure().orElse(PieceFailure.FAILED));
            }
        }
    }

    private void recordHandle(TicketPiece piece, String handle) {
        StageTicket ticket = piece.ticket();
        if (!ticket.open()) {
            release(List.of(handle));
            return;
        }
        ticket.recordResult(piece.number(), handle);
        if (ticket.finished()) {
            Promise<List<String>> promise = pendingResults.get(ticket);
            closeTicket(ticket);
            metrics.recordStageWork(ticket.work(), true);
            promise.tryComplete(ticket.handles());
        }
    }

    private void handlePieceFailure(String endpoint, TicketPiece piece, PieceFailure failure) {
        switch (failure) {
            case LATE -> fail(piece.ticket(), ErrorCode.DEADLINE_UNREACHABLE, "deadline passed at the endpoint");
            case INPUT_GONE ->
                fail(piece.ticket(), ErrorCode.STAGE_FAILED, "a result of an earlier stage is no longer stored");
            case NO_ROOM -> {
                backoffUntilMs.put(endpoint, tables.nowMs() + CAPACITY_EXHAUSTED_BACKOFF_MS);
                retry(piece, "no result capacity left");
            }
            case FAILED -> retry(piece, "processing failed at the endpoint");
        }
    }

    private void handleCallFailure(
            EndpointState endpoint, List<TicketPiece> pieces, ServingException failure, long retentionMs) {
        String identifier = endpoint.latest().identifier();
        metrics.recordEndpointFailure(service, failure.code().label());
        Events.warn(
                LOG,
                "stage_call_failed",
                "service",
                service,
                "endpoint",
                identifier,
                "pieces",
                pieces.size(),
                "failure",
                failure.getMessage());
        if (failure.code() == ErrorCode.OVERLOADED) {
            backoffUntilMs.put(identifier, tables.nowMs() + OVERLOADED_BACKOFF_MS);
        } else {
            endpoint.recordFailure(tables.nowMs());
        }
        boolean notRun = failure.outcome() == Outcome.NOT_RUN;
        for (TicketPiece piece : pieces) {
            long bytes = piece.ticket().work().resultBytes();
            if (notRun) {
                resultCapacity.releaseReservation(identifier, bytes);
            } else {
                // The endpoint may have stored the result, but its handle is unknown. Its capacity stays reserved
                // until the retention time ends.
                unknownResultCount++;
                resultCapacity.recordResult(
                        "lost-" + unknownResultCount, identifier, bytes, tables.nowMs() + retentionMs);
            }
            retry(piece, failure.code().label());
        }
    }

    private void retry(TicketPiece piece, String reason) {
        StageTicket ticket = piece.ticket();
        if (!ticket.open()) {
            return;
        }
        if (failureCounts.merge(ticket, 1, Integer::sum)
                > MAX_FAILURES_PER_PIECE * ticket.work().pieces()) {
            fail(ticket, ErrorCode.STAGE_FAILED, "too many failed attempts, last cause: " + reason);
        } else if (!tables.tryTakePieceRetry(service)) {
            fail(ticket, ErrorCode.RETRY_BUDGET_EXHAUSTED, reason);
        } else {
            ticket.requeue(piece.number());
        }
    }

    private void fail(StageTicket ticket, ErrorCode code, String detail) {
        fail(ticket, ServingException.notRun(code, service + ": " + detail));
    }

    private void fail(StageTicket ticket, ServingException failure) {
        Promise<List<String>> promise = pendingResults.get(ticket);
        if (promise == null) {
            return;
        }
        closeTicket(ticket);
        release(ticket.handles());
        metrics.recordStageWork(ticket.work(), false);
        Events.info(
                LOG,
                "stage_refused",
                "request",
                ticket.work().requestId(),
                "service",
                service,
                "reason",
                failure.getMessage(),
                "workspace",
                ticket.work().workspace().orElse(""),
                "route",
                ticket.work().route().orElse(""),
                "pieces",
                ticket.work().pieces(),
                "waiting",
                queue.waitingPieces(),
                "retry_after_ms",
                failure.retryAfterMs().orElse(-1));
        promise.tryFail(failure);
    }

    private void closeTicket(StageTicket ticket) {
        ticket.close();
        queue.remove(ticket);
        failureCounts.remove(ticket);
        pendingResults.remove(ticket);
    }

    /** No event signals the end of a backoff or a deadline, so the queue is checked again after an interval. */
    private void scheduleRecheck() {
        if (!recheckScheduled && queue.waitingPieces() > 0) {
            recheckScheduled = true;
            vertx.setTimer(RECHECK_INTERVAL_MS, fired -> {
                recheckScheduled = false;
                dispatch();
            });
        }
    }
}
