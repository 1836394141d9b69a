package org.pimentovale.kernel.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One stage of one request in a service's queue, with the state of its pieces.
 *
 * <p>Invariant: each piece is waiting, in a call, or has a result. Not thread safe.
 */
public final class StageTicket {
    private final StageWork work;
    private final long arrivedMs;
    private final Deque<Integer> waiting = new ArrayDeque<>();
    private final List<Optional<String>> results = new ArrayList<>();
    private int missingResults;
    private boolean closed;

    /**
     * Creates a ticket whose pieces are all waiting.
     *
     * @param work the work of the stage
     * @param arrivedMs the arrival time in milliseconds
     */
    public StageTicket(StageWork work, long arrivedMs) {
        this.work = work;
        this.arrivedMs = arrivedMs;
        this.missingResults = work.pieces();
        for (int piece = 0; piece < work.pieces(); piece++) {
            waiting.addLast(piece);
            results.add(Optional.empty());
        }
    }

    /**
     * Returns the work of the stage.
     *
     * @return the work that the ticket was created with
     */
    public StageWork work() {
        return work;
    }

    /**
     * Returns the arrival time of the ticket.
     *
     * @return the time in milliseconds
     */
    public long arrivedMs() {
        return arrivedMs;
    }

    /**
     * Returns the time by which the stage should end for the request to meet its goal.
     *
     * @return the time in milliseconds
     */
    public long dueMs() {
        return arrivedMs + work.goalLeftMs();
    }

    /**
     * Returns the time after which the results are useless.
     *
     * @return the time in milliseconds
     */
    public long deadlineMs() {
        return arrivedMs + work.leftMs();
    }

    int waitingPieces() {
        return closed ? 0 : waiting.size();
    }

    /**
     * Tells whether all pieces are waiting.
     *
     * @return true if no piece is in a call or has a result
     */
    public boolean unstarted() {
        return waiting.size() == work.pieces();
    }

    int takePiece() {
        return waiting.pollFirst();
    }

    /**
     * Puts a piece back at the head of the ticket after its call failed. Does nothing if the piece has a result.
     *
     * @param piece the index of the piece
     */
    public void requeue(int piece) {
        if (results.get(piece).isEmpty()) {
            waiting.addFirst(piece);
        }
    }

    /**
     * Records the result of a piece. The first result of a piece stays.
     *
     * @param piece the index of the piece
     * @param handle the identifier of the result
     */
    public void recordResult(int piece, String handle) {
        if (results.get(piece).isEmpty()) {
            results.set(piece, Optional.of(handle));
            missingResults--;
        }
    }

    /**
     * Tells whether all pieces have results.
     *
     * @return true if no result is missing
     */
    public boolean finished() {
        return missingResults == 0;
    }

    /** Closes the ticket because its results are no longer needed. No further pieces are taken from it. */
    public void close() {
        closed = true;
    }

    /**
     * Tells whether the results are still needed.
     *
     * @return false once the ticket is closed
     */
    public boolean open() {
        return !closed;
    }

    /**
     * Returns the results recorded so far.
     *
     * @return the result handles in the order of their pieces
     */
    public List<String> handles() {
        return results.stream().flatMap(Optional::stream).toList();
    }
}
