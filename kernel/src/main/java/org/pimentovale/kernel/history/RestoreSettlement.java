package org.pimentovale.kernel.history;

import java.util.Optional;

/**
 * Decides whether a key without a claim in the store may be claimed, after the store was restored from a backup and may
 * have lost the claim of an earlier run.
 *
 * <p>A key that tells its creation time may be claimed if it was created after the restore, and never if it is older. A
 * key without a time may be claimed once the restore is settled: {@link #SETTLING_MS} have passed since an instance
 * noticed it, and the instances have written again what they remember. Invariant: eras never decrease. Thread safe; it
 * acquires no other lock.
 */
public final class RestoreSettlement {
    /** The era of a store that was never restored. */
    public static final long FIRST_ERA = 1;

    /**
     * Time within which each instance that reaches the store notices a restore, in milliseconds: the longest watch of
     * the configuration with its margin and the delay before the next one.
     */
    public static final long NOTICE_MS = 12_000;

    /** Time within which an instance that has noticed a restore writes its claims again, in milliseconds. */
    public static final long REWRITE_MS = 3_000;

    /** Minimum time from the noticing of a restore until it is settled, in milliseconds. */
    public static final long SETTLING_MS = NOTICE_MS + REWRITE_MS;

    /** Assumed maximum difference between the wall clocks of callers and instances, in milliseconds. */
    public static final long CLOCK_SKEW_MS = 1_000;

    private long era;
    private long settledEra = FIRST_ERA;
    private long noticedAtMs;
    private long restoredBeforeWallMs;

    /** The decision on a key. */
    public enum Verdict {
        /** The key may be claimed. */
        CLAIMABLE,
        /** An earlier run of the key may be found until the restore is settled. */
        SETTLING,
        /** The claim of an earlier run may have been lost for good. */
        POSSIBLY_LOST
    }

    /**
     * Records the era that the store names.
     *
     * @param namedEra the era, zero if the store names none
     * @param nowMs the monotonic time in milliseconds
     * @param wallMs the wall-clock time in milliseconds since 1970
     * @return whether this shows a restore that was not known
     */
    public synchronized boolean recordEra(long namedEra, long nowMs, long wallMs) {
        if (namedEra <= era) {
            return false;
        }
        era = namedEra;
        if (era <= settledEra) {
            return false;
        }
        noticedAtMs = nowMs;
        restoredBeforeWallMs = wallMs;
        return true;
    }

    /**
     * Records that the restore which began an era is settled.
     *
     * @param newSettledEra the era
     * @param restoredBeforeMs wall-clock time in milliseconds since 1970, at which the restore was over
     */
    public synchronized void recordSettled(long newSettledEra, long restoredBeforeMs) {
        if (newSettledEra > settledEra && newSettledEra >= era) {
            era = newSettledEra;
            settledEra = newSettledEra;
            restoredBeforeWallMs = restoredBeforeMs;
        }
    }

    /**
     * Returns the era of the store.
     *
     * @return the latest era recorded, zero if none
     */
    public synchronized long era() {
        return era;
    }

    /**
     * Tells whether the store's last restore is not settled.
     *
     * @return whether claims may still be missing that other instances remember
     */
    public synchronized boolean settling() {
        return era > settledEra;
    }

    /**
     * Returns the rest of the minimum time until the restore may be settled.
     *
     * @param nowMs the monotonic time in milliseconds
     * @return milliseconds, zero if it has passed or there is nothing to settle
     */
    public synchronized long remainingMs(long nowMs) {
        return settling() ? Math.max(0, noticedAtMs + SETTLING_MS - nowMs) : 0;
    }

    /**
     * Returns a time at which the last restore was over.
     *
     * @return wall-clock time in milliseconds since 1970; zero if there was no restore
     */
    public synchronized long restoredBeforeWallMs() {
        return restoredBeforeWallMs;
    }

    /**
     * Decides on a key for which the store holds no claim.
     *
     * @param keyCreatedWallMs creation time of the key in milliseconds since 1970, empty if unknown
     * @return the decision
     */
    public synchronized Verdict judge(Optional<Long> keyCreatedWallMs) {
        if (era <= FIRST_ERA) {
            return Verdict.CLAIMABLE;
        }
        boolean createdAfterRestore = keyCreatedWallMs
                .filter(created -> created >= restoredBeforeWallMs + CLOCK_SKEW_MS)
                .isPresent();
        if (createdAfterRestore) {
            return Verdict.CLAIMABLE;
        }
        if (settling()) {
            return Verdict.SETTLING;
        }
        return keyCreatedWallMs.isPresent() ? Verdict.POSSIBLY_LOST : Verdict.CLAIMABLE;
    }
}
