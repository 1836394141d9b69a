package org.pimentovale.kernel.quarantine;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The losses counted against a key, and its quarantine. Invariant: the number of stored losses is bounded. Not thread
 * safe.
 */
final class Suspect {
    static final long NOT_QUARANTINED = -1;

    private static final int MAX_LOSSES = 8;

    private final Set<String> lostIncarnations = new LinkedHashSet<>();
    private long latestLossMs;
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
        return lostIncarnations.size();
    }

    void recordLoss(String incarnation, long nowMs) {
        latestLossMs = nowMs;
        if (lostIncarnations.size() < MAX_LOSSES) {
            lostIncarnations.add(incarnation);
        }
    }

    /** Sets the number of losses to at least the given one, as another instance has counted them. */
    void assumeLosses(int minimum, long nowMs) {
        latestLossMs = nowMs;
        for (int position = 0; lostIncarnations.size() < minimum; position++) {
            lostIncarnations.add("reported-" + position);
        }
    }

    void discardLossesBefore(long timeMs) {
        if (latestLossMs < timeMs) {
            lostIncarnations.clear();
        }
    }
}
