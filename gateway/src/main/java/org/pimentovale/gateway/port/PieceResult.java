package org.pimentovale.gateway.port;

import java.util.Optional;

/**
 * The outcome of a piece. Exactly one of the two components is present.
 *
 * @param handle identifies the stored result, empty if the piece failed
 * @param failure the reason of the failure, empty if there is a result
 */
public record PieceResult(Optional<String> handle, Optional<PieceFailure> failure) {
    /** The reasons why a piece has no result. */
    public enum PieceFailure {
        /** Its deadline passed before the endpoint started it. */
        LATE,
        /** A result that it uses as input is no longer stored. */
        INPUT_GONE,
        /** The endpoint has no result capacity left. */
        NO_ROOM,
        /** The endpoint failed to process it. */
        FAILED
    }

    /**
     * Creates the outcome of a successful piece.
     *
     * @param handle identifies the stored result
     * @return the outcome
     */
    public static PieceResult done(String handle) {
        return new PieceResult(Optional.of(handle), Optional.empty());
    }

    /**
     * Creates the outcome of a failed piece.
     *
     * @param failure the reason
     * @return the outcome
     */
    public static PieceResult failed(PieceFailure failure) {
        return new PieceResult(Optional.empty(), Optional.of(failure));
    }
}
