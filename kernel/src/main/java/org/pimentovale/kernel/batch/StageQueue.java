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
 * from all requests. Work that can still meet its goal goes first, by urgency and then by the time left; work that can
 * only be late fills what remains. Work that prefers an availability zone waits for an endpoint there as long as its
 * goal allows and little waits, since results that cross zones cost more than a short wait. Invariant: a piece is
 * handed out once until it is put back. Not thread safe.
 */
public final class StageQueue {
    private static final double LEAST_ZONE_PATIENCE_CALLS = 1;
    private static final double ZONE_PATIENCE_CALLS_OF_ONE_ENDPOINT = 3;
    private static final long LATE_PATIENCE_MS = 2_500;

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
     * Removes the tickets whose pieces cannot all be done before their deadline, and those that have long missed their
     * goal without any piece begun: their callers learn that at once instead of at their deadline.
     *
     * @param limits what an endpoint of the service bears
     * @param nowMs the time in milliseconds
     * @return the tickets, which have not been finished
     */
    public List<StageTicket> removeHopeless(PieceLimits limits, long nowMs) {
        List<StageTicket> hopeless = tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .filter(ticket -> (ticket.untouched() && nowMs > ticket.dueMs() + LATE_PATIENCE_MS)
                        || nowMs + limits.durationMs(Math.min(ticket.waitingPieces(), limits.piecesPerCall()))
                                > ticket.deadlineMs())
                .toList();
        tickets.removeAll(hopeless);
        return hopeless;
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
        List<StageTicket> order = tickets.stream()
                .filter(ticket -> ticket.waitingPieces() > 0)
                .filter(ticket -> backlog || mayRunAt(ticket, place, limits, nowMs))
                .sorted(order(nowMs + (long) limits.durationMs(limits.piecesPerCall() / 2)))
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
                .thenComparingLong(StageTicket::dueMs)
                .thenComparingLong(StageTicket::arrivedMs);
    }
}
