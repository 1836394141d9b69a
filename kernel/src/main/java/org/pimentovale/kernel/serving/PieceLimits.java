package org.pimentovale.kernel.serving;

/**
 * The limits and durations of one endpoint of a service that works on pieces.
 *
 * @param concurrentCalls the maximum number of concurrent calls
 * @param maximumPiecesPerCall the maximum number of pieces per call
 * @param callOverheadMs the fixed time of a call regardless of its pieces, in milliseconds
 * @param pieceMs the approximate additional time per piece, in milliseconds
 * @param resultMegabytes the capacity for results, in units of 10^6 bytes
 * @param retentionSeconds how long a result is kept after its call, in seconds
 */
public record PieceLimits(
        int concurrentCalls,
        int maximumPiecesPerCall,
        double callOverheadMs,
        double pieceMs,
        double resultMegabytes,
        double retentionSeconds) {
    /**
     * Returns the expected duration of a call.
     *
     * @param pieces the number of pieces in the call
     * @return the duration in milliseconds
     */
    public double durationMs(int pieces) {
        return callOverheadMs + pieces * pieceMs;
    }
}
