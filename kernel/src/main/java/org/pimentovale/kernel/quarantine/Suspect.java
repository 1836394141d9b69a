package org.pimentovale.kernel.quarantine;

import java.util.HashSet;
import java.util.Set;

/**
 * The losses counted against a key, and its quarantine. Invariant: the number of stored incarnations is bounded. Not
 * thread safe.
 */
final class Suspect {
    static final long NOT_QUARANTINED = -1;

    private static final int MAX_INCARNATIONS = 64;

    private final Set<String> lostIncarnations = new HashSet<>();
    private int losses;
    private long latestLossMs;
    private long latestSendMs;
    private String latestSender = "";
    private long quarantinedUntilMs = NOT_QUARANTINED;

    boolean quarantined() {
        return quarantinedUntilMs != NOT_QUARANTINED;
    }

    /** Returns the end of the quarantine in milliseconds, or {@link #NOT_QUARANTINED}. */
    long quarantinedUntilMs() {
        return quarantinedUntilMs;
    }

    void setQuarantinedUntilMs(long untilMs) {
        quarantinedUntilMs = untilMs;
    }

    int losses() {
        return losses;
    }

    /** Counts the loss of an incarnation that is not counted yet, unless it follows the latest loss too closely. */
    void recordLoss(String incarnation, long nowMs, long minimumDistanceMs) {
        if (lostIncarnations.size() >= MAX_INCARNATIONS || !lostIncarnations.add(incarnation)) {
            return;
        }
        if (losses == 0 || nowMs - latestLossMs >= minimumDistanceMs) {
            losses++;
            latestLossMs = nowMs;
        }
    }

    /** Returns the time of the latest counted loss, or of the latest request of another sender if that was later. */
    long latestRiskMs(String fingerprint) {
        return fingerprint.equals(latestSender) ? latestLossMs : Math.max(latestLossMs, latestSendMs);
    }

    void recordSend(String fingerprint, long nowMs) {
        latestSender = fingerprint;
        latestSendMs = nowMs;
    }

    boolean hasLossSince(long timeMs) {
        return losses > 0 && latestLossMs >= timeMs;
    }

    /** Sets the number of losses to at least the given one, as another instance has counted them. */
    void assumeLosses(int minimum, long nowMs) {
        losses = Math.max(losses, minimum);
        latestLossMs = nowMs;
    }

    void discardLossesBefore(long timeMs) {
        if (latestLossMs < timeMs) {
            losses = 0;
            lostIncarnations.clear();
        }
    }
}
