package org.pimentovale.kernel.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pimentovale.kernel.serving.PieceLimits;

/**
 * The queue of one service, shared by the requests of all instances. It forms batched calls from their pieces.
 *
 * <p>A call costs nearly the same regardless of the number of pieces in it, so each call is filled from all requests.
 * This limits the number of calls during bursts. Started tickets go first. Then come tickets that can still meet their
 * goal, ordered by due time plus a penalty for lower priority; tickets that will miss their goal fill the remaining
 * places. If asked for, {@link FairShares} departs from this order as far as shares demand it. A ticket
 * that prefers an availability zone waits for an endpoint there while its goal allows it and there is no backlog,
 * because transferring results between zones costs more than a short wait.
 *
 * <p>Invariant: a piece is taken at most once until it is requeued. Not thread safe.
 */
public final class StageQueue {
    private static final double MIN_ZONE_WAIT_CALLS = 1;
    private static final double EXTRA_ZONE_WAIT_CALLS_FOR_ONE_ENDPOINT = 3;
    private static final long MAX_GOAL_OVERRUN_MS = 2_500;
    private static final long PENALTY_MS_PER_PRIORITY_STEP = 400;
    private static final int MAX_PRIORITY_STEPS = 4;

    private final List<StageTicket> tickets = new ArrayList<>();
    private final FairShares shares = new FairShares();
    private final boolean sharesFairly;

    /**
     * Creates an empty queue.
     *
     * @param sharesFairly whether workspaces and routes get fair shares of a backlog; otherwise urgency alone decides
     */
    public StageQueue(boolean sharesFairly) {
        this.sharesFairly = sharesFairly;
    }

    /**
     * Adds a ticket to the queue.
     *
     * @param ticket a ticket that is not in the queue
     */
    public void add(StageTicket ticket) {
        tickets.add(ticket);
    }

    /**
     * Removes a ticket that has finished or was cancelled.
     *
     * @param ticket the ticket; ignored if it is not in the queue
     */
    public void remove(StageTicket ticket) {
        tickets.remove(ticket);
    }

    /**
     * Returns the number of waiting pieces.
     *
     * @return the number over all tickets that are open
     */
    public int waitingPieces() {
        return tickets.stream().mapToInt(StageTicket::waitingPieces).sum();
    }

    /**
     * Removes the tickets that would miss their deadline, or whose first call would start long after their goal. The
     * expected wait follows from the work ahead of a ticket and the number of endpoints. Early rejection lets callers
     * fail immediately instead of at their deadline. Started tickets are exempt from the wait and the goal, because
     * their remaining pieces go first; they are removed if even an immediate call would end after their deadline.
     *
     * @param limits the limits of one endpoint of the service
     * @param endpoints the number of endpoints that accept work
     * @param startDelayMs the time until the first endpoint accepts a call, in milliseconds; positive if all endpoints
     *     have refused calls for some time
     * @param nowMs the current time in milliseconds
     * @return the removed tickets with their expected waits; the caller has to fail them
     */
    public List<RejectedTicket> rejectLateTickets(PieceLimits limits, int endpoints, long startDelayMs, long nowMs) {
        List<RejectedTicket> rejected = new ArrayList<>();
        double fullCallMs = limits.durationMs(limits.maximumPiecesPerCall());
        int piecesPerRound = Math.max(1, endpoints) * limits.maximumPiecesPerCall();
        int piecesAhead = 0;
        for (StageTicket ticket : ticketsInOrder(limits, endpoints, nowMs)) {
            int pieces = ticket.waitingPieces();
            int roundsAhead = piecesAhead / piecesPerRound;
            long expectedWaitMs = startDelayMs + (ticket.unstarted() ? (long) (roundsAhead * fullCallMs) : 0);
            double expectedEndMs =
                    nowMs + expectedWaitMs + limits.durationMs(Math.min(pieces, limits.maximumPiecesPerCall()));
            boolean exceedsGoal = ticket.unstarted() && nowMs + expectedWaitMs > ticket.dueMs() + MAX_GOAL_OVERRUN_MS;
            if (exceedsGoal || expectedEndMs > ticket.deadlineMs()) {
                rejected.add(new RejectedTicket(ticket, expectedWaitMs));
            } else {
                piecesAhead += pieces;
            }
        }
        rejected.forEach(rejection -> tickets.remove(rejection.ticket()));
        return rejected;
    }

    /**
     * Returns the tickets whose waiting pieces are not all done by a certain time, even if their next calls start now.
     *
     * @param limits the limits of one endpoint of the service
     * @param endpoints the number of endpoints that accept work
     * @param endMs the time in milliseconds
     * @param nowMs the current time in milliseconds
     * @return the tickets, which stay in the queue
     */
    public List<StageTicket> ticketsEndingAfter(PieceLimits limits, int endpoints, long endMs, long nowMs) {
        int piecesPerRound = Math.max(1, endpoints) * limits.maximumPiecesPerCall();
        return tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .filter(ticket -> {
                    int rounds = (ticket.waitingPieces() + piecesPerRound - 1) / piecesPerRound;
                    int piecesPerCall = Math.min(ticket.waitingPieces(), limits.maximumPiecesPerCall());
                    return nowMs + rounds * limits.durationMs(piecesPerCall) > endMs;
                })
                .toList();
    }

    private boolean hasBacklog(PieceLimits limits, int endpoints) {
        return waitingPieces() > endpoints * limits.maximumPiecesPerCall();
    }

    private List<StageTicket> ticketsInOrder(PieceLimits limits, int endpoints, long nowMs) {
        long earliestEndMs = nowMs + (long) limits.durationMs(limits.maximumPiecesPerCall() / 2);
        List<StageTicket> byUrgency = tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .sorted(dispatchOrder(earliestEndMs))
                .toList();
        return sharesFairly && hasBacklog(limits, endpoints) ? inFairOrder(byUrgency, limits) : byUrgency;
    }

    /** Started tickets keep their order and stay first, so that their results occupy capacity for a short time. */
    private List<StageTicket> inFairOrder(List<StageTicket> byUrgency, PieceLimits limits) {
        List<StageTicket> ordered = new ArrayList<>(
                byUrgency.stream().filter(ticket -> !ticket.unstarted()).toList());
        ordered.addAll(
                shares.order(byUrgency.stream().filter(StageTicket::unstarted).toList(), limits));
        return ordered;
    }

    /**
     * Takes the pieces of the next call to an endpoint.
     *
     * @param limits the limits of one endpoint of the service
     * @param target the endpoint that the call goes to
     * @param nowMs the current time in milliseconds
     * @return the pieces, empty if no ticket may run at the endpoint or no result of an eligible ticket fits its
     *     available result capacity
     */
    public List<TicketPiece> takePieces(PieceLimits limits, CallTarget target, long nowMs) {
        boolean hasBacklog = hasBacklog(limits, target.totalEndpoints());
        List<StageTicket> waiting = ticketsInOrder(limits, target.totalEndpoints(), nowMs);
        if (sharesFairly && hasBacklog) {
            shares.observe(waiting, limits);
        }
        List<TicketPiece> pieces = new ArrayList<>();
        Map<StageTicket, Integer> taken = new LinkedHashMap<>();
        long availableBytes = target.availableResultBytes();
        for (StageTicket ticket : waiting) {
            if (!hasBacklog && !isEligible(ticket, target, limits, nowMs)) {
                continue;
            }
            while (ticket.waitingPieces() > 0
                    && pieces.size() < limits.maximumPiecesPerCall()
                    && availableBytes >= ticket.work().resultBytes()) {
                availableBytes -= ticket.work().resultBytes();
                pieces.add(new TicketPiece(ticket, ticket.takePiece()));
                taken.merge(ticket, 1, Integer::sum);
            }
        }
        if (sharesFairly) {
            charge(taken, hasBacklog, limits);
        }
        return pieces;
    }

    private void charge(Map<StageTicket, Integer> taken, boolean hasBacklog, PieceLimits limits) {
        if (hasBacklog) {
            taken.forEach((ticket, count) -> shares.charge(ticket, count, limits));
        } else if (waitingPieces() == 0) {
            shares.reset();
        }
    }

    private static boolean isEligible(StageTicket ticket, CallTarget target, PieceLimits limits, long nowMs) {
        Optional<String> preferredZone = ticket.work().zone();
        int endpointsInPreferredZone = preferredZone
                .map(zone -> target.endpointsByZone().getOrDefault(zone, 0))
                .orElse(0);
        if (endpointsInPreferredZone == 0 || preferredZone.get().equals(target.zone())) {
            return true;
        }
        // The more endpoints the preferred zone has, the sooner one of them becomes free.
        double zoneWaitCalls = MIN_ZONE_WAIT_CALLS + EXTRA_ZONE_WAIT_CALLS_FOR_ONE_ENDPOINT / endpointsInPreferredZone;
        double urgentBeforeMs = nowMs + limits.durationMs(limits.maximumPiecesPerCall()) * zoneWaitCalls;
        return !target.zonesWithFreeEndpoints().contains(preferredZone.get()) && ticket.dueMs() < urgentBeforeMs;
    }

    private static Comparator<StageTicket> dispatchOrder(long earliestEndMs) {
        // Results of started tickets occupy capacity until the remaining pieces are done, so these tickets go first.
        Comparator<StageTicket> startedFirst = Comparator.comparing(StageTicket::unstarted);
        return startedFirst
                .thenComparingInt(ticket -> ticket.dueMs() < earliestEndMs ? 1 : 0)
                .thenComparingLong(ticket -> ticket.dueMs() + priorityPenaltyMs(ticket))
                .thenComparingLong(StageTicket::arrivedMs);
    }

    /** Delays lower-priority tickets behind tickets that are due slightly later, but by a bounded time only. */
    private static long priorityPenaltyMs(StageTicket ticket) {
        return PENALTY_MS_PER_PRIORITY_STEP
                * Math.min(MAX_PRIORITY_STEPS, ticket.work().priority());
    }
}
