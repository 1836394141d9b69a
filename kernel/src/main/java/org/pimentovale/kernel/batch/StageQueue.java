package org.pimentovale.kernel.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pimentovale.kernel.serving.PieceLimits;

/**
 * The one queue in which the pieces of all requests for a service meet, wherever their callers are connected.
 *
 * <p>It answers the load of bursts: a call costs nearly the same however many pieces it holds, so each call is filled
 * from all requests. Work that can still meet its goal goes first, by the time left, in which more urgent work has a
 * head start; work that can only be late fills what remains. Work that prefers an availability zone waits for an
 * endpoint there as long as its goal allows and little waits, since results that cross zones cost more than a short
 * wait. Invariant: a piece is handed out once until it is put back. Not thread safe.
 */
public final class StageQueue {
    private static final double MIN_ZONE_WAIT_CALLS = 1;
    private static final double EXTRA_ZONE_WAIT_CALLS_FOR_ONE_ENDPOINT = 3;
    private static final long MAX_GOAL_OVERRUN_MS = 2_500;
    private static final long PENALTY_MS_PER_PRIORITY_STEP = 400;
    private static final int MAX_PRIORITY_STEPS = 4;

    private final List<StageTicket> tickets = new ArrayList<>();

    /**
     * Adds a ticket.
     *
     * @param ticket the ticket
     */
    public void add(StageTicket ticket) {
        tickets.add(ticket);
    }

    /**
     * Removes a ticket that has ended or is not wanted any more.
     *
     * @param ticket the ticket
     */
    public void remove(StageTicket ticket) {
        tickets.remove(ticket);
    }

    /**
     * Returns how many pieces wait.
     *
     * @return the number
     */
    public int waitingPieces() {
        return tickets.stream().mapToInt(StageTicket::waitingPieces).sum();
    }

    /**
     * Removes the tickets whose turn would come too late for their deadline or long after their goal, by the work that
     * goes before them and the endpoints that do it. Their callers learn that at once instead of at their deadline.
     * What has begun stays until its deadline, since the rest of it is soon done.
     *
     * @param limits what an endpoint of the service bears
     * @param endpoints how many endpoints take work
     * @param nowMs the time in milliseconds
     * @return the tickets, which have not been finished, with the waits that made them hopeless
     */
    public List<RejectedTicket> rejectLateTickets(PieceLimits limits, int endpoints, long nowMs) {
        List<RejectedTicket> rejected = new ArrayList<>();
        double fullCallMs = limits.durationMs(limits.maximumPiecesPerCall());
        int piecesPerRound = Math.max(1, endpoints) * limits.maximumPiecesPerCall();
        int piecesAhead = 0;
        for (StageTicket ticket : ticketsInOrder(limits, nowMs)) {
            int pieces = ticket.waitingPieces();
            int roundsAhead = piecesAhead / piecesPerRound;
            long expectedWaitMs = ticket.unstarted() ? (long) (roundsAhead * fullCallMs) : 0;
            double expectedEndMs = nowMs + expectedWaitMs + limits.durationMs(Math.min(pieces, limits.maximumPiecesPerCall()));
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

    private List<StageTicket> ticketsInOrder(PieceLimits limits, long nowMs) {
        return tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .sorted(dispatchOrder(nowMs + (long) limits.durationMs(limits.maximumPiecesPerCall() / 2)))
                .toList();
    }

    /**
     * Takes the pieces of the next call.
     *
     * @param limits what an endpoint of the service bears
     * @param target the endpoint and what surrounds it
     * @param nowMs the time in milliseconds
     * @return the pieces, none where nothing is to be done there or the first piece finds no room
     */
    public List<TicketPiece> takePieces(PieceLimits limits, CallTarget target, long nowMs) {
        boolean hasBacklog = waitingPieces() > target.totalEndpoints() * limits.maximumPiecesPerCall();
        List<StageTicket> eligible = ticketsInOrder(limits, nowMs).stream()
                .filter(ticket -> hasBacklog || isEligible(ticket, target, limits, nowMs))
                .toList();
        List<TicketPiece> pieces = new ArrayList<>();
        long availableBytes = target.availableResultBytes();
        for (StageTicket ticket : eligible) {
            while (ticket.waitingPieces() > 0
                    && pieces.size() < limits.maximumPiecesPerCall()
                    && availableBytes >= ticket.work().resultBytes()) {
                availableBytes -= ticket.work().resultBytes();
                pieces.add(new TicketPiece(ticket, ticket.takePiece()));
            }
        }
        return pieces;
    }

    private static boolean isEligible(StageTicket ticket, CallTarget target, PieceLimits limits, long nowMs) {
        Optional<String> preferredZone = ticket.work().zone();
        int endpointsInPreferredZone =
                preferredZone.map(zone -> target.endpointsByZone().getOrDefault(zone, 0)).orElse(0);
        if (endpointsInPreferredZone == 0 || preferredZone.get().equals(target.zone())) {
            return true;
        }
        // The more endpoints there are at home, the sooner one of them is free.
        double zoneWaitCalls = MIN_ZONE_WAIT_CALLS + EXTRA_ZONE_WAIT_CALLS_FOR_ONE_ENDPOINT / endpointsInPreferredZone;
        double urgentBeforeMs = nowMs + limits.durationMs(limits.maximumPiecesPerCall()) * zoneWaitCalls;
        return !target.zonesWithFreeEndpoints().contains(preferredZone.get()) && ticket.dueMs() < urgentBeforeMs;
    }

    private static Comparator<StageTicket> dispatchOrder(long earliestEndMs) {
        // Results of half-finished work take room that nothing else can use until the rest is done.
        Comparator<StageTicket> startedFirst = Comparator.comparing(StageTicket::unstarted);
        return startedFirst
                .thenComparingInt(ticket -> ticket.dueMs() < earliestEndMs ? 1 : 0)
                .thenComparingLong(ticket -> ticket.dueMs() + priorityPenaltyMs(ticket))
                .thenComparingLong(StageTicket::arrivedMs);
    }

    /** Less urgent work goes behind work that is due a little later, but not behind all of it. */
    private static long priorityPenaltyMs(StageTicket ticket) {
        return PENALTY_MS_PER_PRIORITY_STEP * Math.min(MAX_PRIORITY_STEPS, ticket.work().priority());
    }
}
