package org.pimentovale.kernel.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The pieces of one stage of one request, on their way through a service's queue.
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
     * Creates a ticket whose pieces all wait.
     *
     * @param work what is to be done
     * @param arrivedMs when it came, in milliseconds
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
     * Returns what is to be done.
     *
     * @return the work
     */
    public StageWork work() {
        return work;
    }

    /**
     * Returns when the ticket came.
     *
     * @return milliseconds
     */
    public long arrivedMs() {
        return arrivedMs;
    }

    /**
     * Returns the time by which the stage should end for the request to meet its goal.
     *
     * @return milliseconds
     */
    public long dueMs() {
        return arrivedMs + work.goalLeftMs();
    }

    /**
     * Returns the time after which the results are of no use.
     *
     * @return milliseconds
     */
    public long deadlineMs() {
        return arrivedMs + work.leftMs();
    }

    int waitingPieces() {
        return closed ? 0 : waiting.size();
    }

    /**
     * Tells whether all pieces still wait.
     *
     * @return whether none is in a call or has a result
     */
    public boolean unstarted() {
        return waiting.size() == work.pieces();
    }

    int takePiece() {
        return waiting.pollFirst();
    }

    /**
     * Puts a piece back whose call failed.
     *
     * @param piece the piece's number
     */
    public void requeue(int piece) {
        if (results.get(piece).isEmpty()) {
            waiting.addFirst(piece);
        }
    }

    /**
     * Records the result of a piece.
     *
     * @param piece the piece's number
     * @param handle names the result
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
     * @return whether they have
     */
    public boolean finished() {
        return missingResults == 0;
    }

    /** Marks that nobody wants the results any more. */
    public void close() {
        closed = true;
    }

    /**
     * Tells whether the results are still wanted.
     *
     * @return false once the ticket was closed
     */
    public boolean open() {
        return !closed;
    }

    /**
     * Returns the results so far.
     *
     * @return the handles, in the order of their pieces
     */
    public List<String> handles() {
        return results.stream().flatMap(Optional::stream).toList();
    }
}
