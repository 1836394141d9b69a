package org.pimentovale.gateway.warmup;

/**
 * Decides when enough requests have been sent to warm up the JIT compiler.
 *
 * <p>A fast machine serves its first callers in time after a few requests; each further one costs processor time that
 * grows with the number of instances. A slow machine needs more of them, since its callers lose most by code that is
 * not compiled. Not thread safe.
 */
final class JitWarmupProgress {
    /** The greatest number of requests; after it, the methods of every request are compiled. */
    static final int MAX_REQUESTS = 60;

    private static final int MIN_REQUESTS = 10;
    private static final int FAST_REQUESTS_IN_A_ROW = 6;
    private static final long FAST_REQUEST_MS = 40;
    private static final long MAX_DURATION_MS = 20_000;

    private final long startedMs;
    private int requests;
    private int fastInARow;

    JitWarmupProgress(long startedMs) {
        this.startedMs = startedMs;
    }

    /** Records a request that has ended, with or without a response. */
    void record(long elapsedMs) {
        requests++;
        fastInARow = elapsedMs <= FAST_REQUEST_MS ? fastInARow + 1 : 0;
    }

    int requests() {
        return requests;
    }

    /** Tells whether no further request is needed, or the time for the warm-up is over. */
    boolean done(long nowMs) {
        boolean fast = requests >= MIN_REQUESTS && fastInARow >= FAST_REQUESTS_IN_A_ROW;
        return fast || requests >= MAX_REQUESTS || nowMs - startedMs >= MAX_DURATION_MS;
    }
}
