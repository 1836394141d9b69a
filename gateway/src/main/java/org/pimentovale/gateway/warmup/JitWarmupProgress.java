package org.pimentovale.gateway.warmup;

import java.util.Arrays;

/**
 * Decides when enough requests have been sent to warm up the JIT compiler.
 *
 * <p>A fast machine serves its first callers in time after a few requests; each further one costs processor time that
 * grows with the number of instances. A slow machine needs more of them, since its callers lose most by code that is
 * not compiled, but only while they still make requests faster. Requests are compared by blocks, since their kinds
 * alternate. Not thread safe.
 */
final class JitWarmupProgress {
    /** The greatest number of requests; after it, the methods of every request are compiled. */
    static final int MAX_REQUESTS = 60;

    private static final int MIN_REQUESTS = 10;
    private static final int FAST_REQUESTS_IN_A_ROW = 6;
    private static final long FAST_REQUEST_MS = 40;
    private static final long MAX_DURATION_MS = 20_000;
    /** Four requests of each of the two kinds; with fewer, the noise of a shared core hides the trend. */
    private static final int BLOCK_REQUESTS = 8;

    private static final double FASTER = 0.9;
    /** One block alone may be slow because of another process. */
    private static final int BLOCKS_WITHOUT_GAIN = 2;

    private final long startedMs;
    private final long[] block = new long[BLOCK_REQUESTS];
    private long bestBlockMs = Long.MAX_VALUE;
    /** Whether a block was faster than the first. Before that, equal durations mean that compilation has not begun. */
    private boolean gained;

    private int blocksWithoutGain;
    private int requests;
    private int fastInARow;

    JitWarmupProgress(long startedMs) {
        this.startedMs = startedMs;
    }

    /** Records a request that has ended, with or without a response. */
    void record(long elapsedMs) {
        block[requests % BLOCK_REQUESTS] = elapsedMs;
        requests++;
        fastInARow = elapsedMs <= FAST_REQUEST_MS ? fastInARow + 1 : 0;
        if (requests % BLOCK_REQUESTS == 0) {
            recordBlock();
        }
    }

    /** Compares a block with the best one, both without their slowest request, as that one often met a pause. */
    private void recordBlock() {
        long blockMs = Arrays.stream(block).sum() - Arrays.stream(block).max().orElse(0);
        boolean first = requests == BLOCK_REQUESTS;
        if (!first && blockMs < FASTER * bestBlockMs) {
            gained = true;
            blocksWithoutGain = 0;
        } else if (gained) {
            blocksWithoutGain++;
        }
        bestBlockMs = Math.min(bestBlockMs, blockMs);
    }

    int requests() {
        return requests;
    }

    /** Tells whether no further request is needed, or the time for the warm-up is over. */
    boolean done(long nowMs) {
        boolean fast = requests >= MIN_REQUESTS && fastInARow >= FAST_REQUESTS_IN_A_ROW;
        boolean noFaster = blocksWithoutGain >= BLOCKS_WITHOUT_GAIN;
        return fast || noFaster || requests >= MAX_REQUESTS || nowMs - startedMs >= MAX_DURATION_MS;
    }
}
