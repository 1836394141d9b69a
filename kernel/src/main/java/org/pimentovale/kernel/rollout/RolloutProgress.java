package org.pimentovale.kernel.rollout;

/**
 * The stored progress of an order, from which a new decider continues.
 *
 * @param identity identifies the order
 * @param phase the phase that begins or has begun
 * @param ageMs the order's age at the time of the write, in milliseconds
 * @param writtenAtMs the wall-clock time of the write, in Unix milliseconds
 */
public record RolloutProgress(RolloutIdentity identity, RolloutPhase phase, long ageMs, long writtenAtMs) {
    /**
     * Returns the order's age now.
     *
     * @param nowWallMs the wall-clock time, in Unix milliseconds
     * @return milliseconds, at least the stored age even if the clock was set back
     */
    public long ageAt(long nowWallMs) {
        return ageMs + Math.max(0, nowWallMs - writtenAtMs);
    }
}
