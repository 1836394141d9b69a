package org.pimentovale.kernel.history;

import java.util.Optional;
import org.pimentovale.kernel.time.ClockReading;

/**
 * Decides how long the watches of one kind may wait, by what other readers report of their own contact with the store.
 *
 * <p>A reader with a long watch does not notice that its connection has gone silent. Reports replace the notice: each
 * names the revision of the last change that the reporter knows and a moment at which the store had no later one. A
 * report that names a later change than this reader knows, or the absence of recent reports, leads to one request to
 * the store. Reports never change what is known.
 *
 * <p>Invariants: a long wait is allowed only if the store was known to have no further change within the last
 * {@link #MAX_AGE_MS}, by both clocks; a report of an earlier era confirms nothing. Not thread safe; used on one event
 * loop.
 */
public final class ContactPlan {
    /** The longest wait of a watch that reports replace, in milliseconds. */
    public static final int LONG_WAIT_MS = 25_000;

    /**
     * The longest wait of a reporter, in milliseconds. With probes once a second, a follower then hears of a response
     * that is at most 2.5 s old, which leaves half a second before {@link #MAX_AGE_MS} for slow machines.
     */
    public static final int REPORTER_WAIT_MS = 1_500;

    /** The time after which the store's last known statement has to be renewed, in milliseconds. */
    public static final long MAX_AGE_MS = 3_000;

    /** The time after a failure of the store for which waits stay short, in milliseconds. */
    public static final long FAILURE_MEMORY_MS = 5_000;

    /** The time within which a change arrives by the reader's own watch after the batch delay, in milliseconds. */
    public static final long BEHIND_MARGIN_MS = 300;

    /** The last change that is reported and not known, and when the first and the last new report of one arrived. */
    private record MissedChange(StoreRevision revision, ClockReading since, ClockReading reported) {}

    /** Why the store is to be asked at once. */
    public enum CheckReason {
        /** A reporter knows a later change. */
        BEHIND,
        /** No recent statement of the store is known. */
        EXPIRED
    }

    private Optional<ClockReading> confirmedUntil = Optional.empty();
    private Optional<ClockReading> reporterHeard = Optional.empty();
    private Optional<ClockReading> answeredUntil = Optional.empty();
    private Optional<ClockReading> failed = Optional.empty();
    private Optional<MissedChange> missed = Optional.empty();
    private StoreRevision refuted = StoreRevision.NONE;

    /**
     * Records a response of the store to this reader.
     *
     * @param known the revision known with the response
     * @param sent when the request was sent
     * @param until a moment up to which no change is missing
     */
    public void recordResponse(StoreRevision known, ClockReading sent, ClockReading until) {
        answeredUntil = Optional.of(until);
        missed.filter(change -> !known.precedes(change.revision())).ifPresent(change -> missed = Optional.empty());
        // The store itself does not confirm a change that was reported before the request was sent.
        missed.filter(change -> change.reported().monotonicMs() <= sent.monotonicMs())
                .ifPresent(change -> {
                    refuted = change.revision();
                    missed = Optional.empty();
                });
    }

    /**
     * Records a request without a usable response.
     *
     * @param now the current time
     */
    public void recordFailure(ClockReading now) {
        failed = Optional.of(now);
    }

    /**
     * Records a report.
     *
     * @param changed the revision of the last change that the reporter knows
     * @param confirmed a moment at which the store had told the reporter of no later change
     * @param known the revision that this reader knows
     * @param now the current time
     */
    public void recordReport(StoreRevision changed, ClockReading confirmed, StoreRevision known, ClockReading now) {
        if (changed.equals(refuted) || known.isOfLaterEra(changed)) {
            return;
        }
        reporterHeard = later(reporterHeard, confirmed);
        if (known.precedes(changed)) {
            if (missed.filter(change -> !change.revision().precedes(changed)).isEmpty()) {
                ClockReading since = missed.map(MissedChange::since).orElse(now);
                missed = Optional.of(new MissedChange(changed, since, now));
            }
        } else {
            confirmedUntil = later(confirmedUntil, confirmed);
        }
    }

    private static Optional<ClockReading> later(Optional<ClockReading> known, ClockReading moment) {
        return known.filter(previous -> previous.monotonicMs() >= moment.monotonicMs())
                .or(() -> Optional.of(moment));
    }

    /**
     * Returns the latest moment for which a reporter had heard from the store, also if it heard of a later change.
     *
     * @return the moment, empty before the first report
     */
    public Optional<ClockReading> reporterHeard() {
        return reporterHeard;
    }

    /**
     * Returns the latest moment at which a reporter knew that the store had no change beyond those known here.
     *
     * @return the moment, empty before the first such report
     */
    public Optional<ClockReading> confirmedUntil() {
        return confirmedUntil;
    }

    /**
     * Tells whether the next watch may wait long.
     *
     * @param now the current time
     * @return whether a recent report confirms what is known, and the store has not failed lately
     */
    public boolean allowsLongWait(ClockReading now) {
        boolean confirmed = isRecent(confirmedUntil, now, MAX_AGE_MS);
        return confirmed && missed.isEmpty() && !isRecent(failed, now, FAILURE_MEMORY_MS);
    }

    /**
     * Tells whether a long watch in progress is to be replaced by one that returns at once.
     *
     * @param now the current time
     * @param batchDelayMs how long this reader waits for further changes after one, in milliseconds
     * @return the reason, empty if the watch goes on
     */
    public Optional<CheckReason> checkReason(ClockReading now, long batchDelayMs) {
        boolean behind = missed.filter(change -> now.longestMsSince(change.since()) >= batchDelayMs + BEHIND_MARGIN_MS)
                .isPresent();
        if (behind) {
            return Optional.of(CheckReason.BEHIND);
        }
        boolean known = isRecent(confirmedUntil, now, MAX_AGE_MS) || isRecent(answeredUntil, now, MAX_AGE_MS);
        return known ? Optional.empty() : Optional.of(CheckReason.EXPIRED);
    }

    private static boolean isRecent(Optional<ClockReading> moment, ClockReading now, long maxAgeMs) {
        return moment.filter(earlier -> now.longestMsSince(earlier) <= maxAgeMs).isPresent();
    }
}
