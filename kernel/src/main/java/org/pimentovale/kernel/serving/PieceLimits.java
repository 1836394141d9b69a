package org.pimentovale.kernel.serving;

/**
 * What one endpoint of a service that works on pieces bears.
 *
 * @param concurrentCalls calls in progress at the same time
 * @param maximumPiecesPerCall the largest number of pieces in a call
 * @param callOverheadMs the time that a call takes besides its pieces
 * @param pieceMs the approximate time of a piece
 * @param resultMegabytes the room for results
 * @param retentionSeconds how long a result is kept after its call
 */
public record PieceLimits(
        int concurrentCalls,
        int maximumPiecesPerCall,
        double callOverheadMs,
        double pieceMs,
        double resultMegabytes,
        double retentionSeconds) {
    /**
     * Returns the time that a call takes.
     *
     * @param pieces the number of its pieces
     * @return milliseconds
     */
    public double durationMs(int pieces) {
        return callOverheadMs + pieces * pieceMs;
    }
}
