package org.pimentovale.gateway.port;

import java.util.Optional;

/**
 * What became of a piece.
 *
 * @param handle names the result, present exactly where there is one
 * @param failure why there is none
 */
public record PieceResult(Optional<String> handle, Optional<PieceFailure> failure) {
    /** Why a piece has no result. */
    public enum PieceFailure {
        /** Its time was over before its turn. */
        LATE,
        /** A result that it takes is gone. */
        INPUT_GONE,
        /** The endpoint has no room for the result. */
        NO_ROOM,
        /** The endpoint failed. */
        FAILED
    }

    /**
     * Creates the result of a piece that was done.
     *
     * @param handle names the result
     * @return the result
     */
    public static PieceResult done(String handle) {
        return new PieceResult(Optional.of(handle), Optional.empty());
    }

    /**
     * Creates the result of a piece that was not done.
     *
     * @param failure why
     * @return the result
     */
    public static PieceResult failed(PieceFailure failure) {
        return new PieceResult(Optional.empty(), Optional.of(failure));
    }
}
