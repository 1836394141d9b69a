package org.pimentovale.kernel.history;

/**
 * Decides whether a lease that a store shows as free may be acquired, after the store was restored from a backup and
 * may have lost the acquisition by another instance.
 *
 * <p>A lease that was acquired before the restore ends on its holder's clock one lease duration later at most. Until
 * then only that holder may write it again. Invariant: eras never decrease. Thread safe; it acquires no other lock.
 */
public final class LeaseSettlement {
    private final long settlingMs;
    private long era;
    private long settledAtMs = Long.MIN_VALUE;

    /**
     * Creates the state of a store that has not named an era.
     *
     * @param settlingMs the lease duration and a margin, in milliseconds
     */
    public LeaseSettlement(long settlingMs) {
        this.settlingMs = settlingMs;
    }

    /**
     * Records the era that the store names. An instance that meets a store in a later era than the first cannot tell
     * when it was restored, and takes it as restored now.
     *
     * @param namedEra the era, zero if the store names none
     * @param nowMs the monotonic time in milliseconds
     * @return whether this shows a restore that was not known
     */
    public synchronized boolean recordEra(long namedEra, long nowMs) {
        if (namedEra <= era) {
            return false;
        }
        era = namedEra;
        if (era <= RestoreSettlement.FIRST_ERA) {
            return false;
        }
        settledAtMs = nowMs + settlingMs;
        return true;
    }

    /**
     * Tells whether a lease may be acquired or written again.
     *
     * @param ownUntilMs the time until which this instance holds the lease by its own clock; in the past if it does not
     * @param nowMs the monotonic time in milliseconds
     * @return whether no other instance can hold the lease without the store showing it
     */
    public synchronized boolean allows(long ownUntilMs, long nowMs) {
        return nowMs < ownUntilMs || nowMs >= settledAtMs;
    }

    /**
     * Returns the time until leases may be acquired that the store shows as free.
     *
     * @param nowMs the monotonic time in milliseconds
     * @return milliseconds, zero if they may be acquired now
     */
    public synchronized long remainingMs(long nowMs) {
        return nowMs >= settledAtMs ? 0 : settledAtMs - nowMs;
    }
}
