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
    private static final double LEAST_ZONE_PATIENCE_CALLS = 1;
    private static final double ZONE_PATIENCE_CALLS_OF_ONE_ENDPOINT = 3;
    private static final long LATE_PATIENCE_MS = 2_500;
    private static final long HEAD_START_MS_PER_RANK = 400;
    private static final int MOST_RANKS = 4;

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
    public List<HopelessTicket> removeHopeless(PieceLimits limits, int endpoints, long nowMs) {
        List<HopelessTicket> hopeless = new ArrayList<>();
        double fullCallMs = limits.durationMs(limits.piecesPerCall());
        int piecesPerRound = Math.max(1, endpoints) * limits.piecesPerCall();
        int piecesBefore = 0;
        for (StageTicket ticket : inOrder(limits, nowMs)) {
            int pieces = ticket.waitingPieces();
            int roundsBefore = piecesBefore / piecesPerRound;
            long waitMs = ticket.untouched() ? (long) (roundsBefore * fullCallMs) : 0;
            double endMs = nowMs + waitMs + limits.durationMs(Math.min(pieces, limits.piecesPerCall()));
            boolean longPastGoal = ticket.untouched() && nowMs + waitMs > ticket.dueMs() + LATE_PATIENCE_MS;
            if (longPastGoal || endMs > ticket.deadlineMs()) {
                hopeless.add(new HopelessTicket(ticket, waitMs));
            } else {
                piecesBefore += pieces;
            }
        }
        hopeless.forEach(found -> tickets.remove(found.ticket()));
        return hopeless;
    }

    private List<StageTicket> inOrder(PieceLimits limits, long nowMs) {
        return tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .sorted(order(nowMs + (long) limits.durationMs(limits.piecesPerCall() / 2)))
                .toList();
    }

    /**
     * Takes the pieces of the next call.
     *
     * @param limits what an endpoint of the service bears
     * @param place the endpoint and what surrounds it
     * @param nowMs the time in milliseconds
     * @return the pieces, none where nothing is to be done there or the first piece finds no room
     */
    public List<QueuedPiece> takeCall(PieceLimits limits, CallPlace place, long nowMs) {
        boolean backlog = waitingPieces() > place.allEndpoints() * limits.piecesPerCall();
        List<StageTicket> order = inOrder(limits, nowMs).stream()
                .filter(ticket -> backlog || mayRunAt(ticket, place, limits, nowMs))
                .toList();
        List<QueuedPiece> call = new ArrayList<>();
        long roomLeft = place.roomBytes();
        for (StageTicket ticket : order) {
            while (ticket.waitingPieces() > 0
                    && call.size() < limits.piecesPerCall()
                    && roomLeft >= ticket.work().resultBytes()) {
                roomLeft -= ticket.work().resultBytes();
                call.add(new QueuedPiece(ticket, ticket.takePiece()));
            }
        }
        return call;
    }

    private static boolean mayRunAt(StageTicket ticket, CallPlace place, PieceLimits limits, long nowMs) {
        Optional<String> preferred = ticket.work().zone();
        int endpointsAtHome =
                preferred.map(zone -> place.endpoints().getOrDefault(zone, 0)).orElse(0);
        if (endpointsAtHome == 0 || preferred.get().equals(place.zone())) {
            return true;
        }
        // The more endpoints there are at home, the sooner one of them is free.
        double patienceCalls = LEAST_ZONE_PATIENCE_CALLS + ZONE_PATIENCE_CALLS_OF_ONE_ENDPOINT / endpointsAtHome;
        double hurryBeforeMs = nowMs + limits.durationMs(limits.piecesPerCall()) * patienceCalls;
        return !place.freeZones().contains(preferred.get()) && ticket.dueMs() < hurryBeforeMs;
    }

    private static Comparator<StageTicket> order(long earliestEndMs) {
        // Results of half-finished work take room that nothing else can use until the rest is done.
        Comparator<StageTicket> begunFirst = Comparator.comparing(StageTicket::untouched);
        return begunFirst
                .thenComparingInt(ticket -> ticket.dueMs() < earliestEndMs ? 1 : 0)
                .thenComparingLong(ticket -> ticket.dueMs() + headStartLostMs(ticket))
                .thenComparingLong(StageTicket::arrivedMs);
    }

    /** Less urgent work goes behind work that is due a little later, but not behind all of it. */
    private static long headStartLostMs(StageTicket ticket) {
        return HEAD_START_MS_PER_RANK * Math.min(MOST_RANKS, ticket.work().priority());
    }
}
