package org.pimentovale.gateway.feed;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.ContactPlan;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.time.ClockReading;

/**
 * The waits of a feed's watches, and what the feed reports to other gateways.
 *
 * <p>Invariant: a gateway that neither reports nor follows keeps the wait of its timing. Not thread safe; used on one
 * event loop.
 */
final class FeedWaits {
    private final FeedTiming timing;
    private final Supplier<ContactRole> role;
    private final ContactPlan plan = new ContactPlan();
    private StoreRevision changed = StoreRevision.NONE;
    private Optional<ClockReading> validUntil = Optional.empty();

    /**
     * Creates the waits of a feed.
     *
     * @param timing the timing of the feed
     * @param role returns how this gateway keeps its waits now
     */
    FeedWaits(FeedTiming timing, Supplier<ContactRole> role) {
        this.timing = timing;
        this.role = role;
    }

    /** Returns the wait of the next watch, in milliseconds. */
    int nextMs(ClockReading now) {
        int shortMs = timing.waitMs();
        if (!followsReports()) {
            return shortMs;
        }
        return switch (role.get()) {
            case INDEPENDENT -> shortMs;
            case REPORTER -> Math.min(shortMs, ContactPlan.REPORTER_WAIT_MS);
            case FOLLOWER ->
                timing.silence().allowsReports() && plan.allowsLongWait(now) ? ContactPlan.LONG_WAIT_MS : shortMs;
        };
    }

    /** Tells whether the wait is short only to notice a silent connection. */
    private boolean followsReports() {
        return timing.maxWaitMs() < ContactPlan.LONG_WAIT_MS;
    }

    /** Records a complete list. */
    void recordList(StoreRevision listed, ClockReading sent) {
        changed = listed;
        recordResponse(listed, sent, sent);
    }

    /** Records the response to a watch; {@code until} is a moment up to which no change is missing. */
    void recordChanges(ObjectChanges changes, ClockReading sent, ClockReading until) {
        if (!changes.changes().isEmpty()) {
            changed = lastChange(changes);
        }
        recordResponse(changes.revision(), sent, until);
    }

    private void recordResponse(StoreRevision known, ClockReading sent, ClockReading until) {
        validUntil = Optional.of(until);
        plan.recordResponse(known, sent, until);
    }

    /** Returns the revision of the last change, or of the response if it holds a removal, which names none. */
    private static StoreRevision lastChange(ObjectChanges changes) {
        List<ObjectChanges.Change> all = changes.changes();
        long revision = all.stream().anyMatch(ObjectChanges.Change::removed)
                ? changes.revision().revision()
                : all.stream()
                        .mapToLong(change -> change.entry().revision().revision())
                        .max()
                        .orElse(changes.revision().revision());
        return new StoreRevision(changes.revision().era(), revision);
    }

    void recordFailure(ClockReading now) {
        plan.recordFailure(now);
    }

    /** Records what another gateway reported; {@code sent} is when it was asked. */
    void recordReport(StoreRevision reported, ClockReading confirmed, StoreRevision known, ClockReading now) {
        plan.recordReport(reported, confirmed, known, now);
    }

    /** Returns the latest moment for which another gateway had heard from the store, in monotonic milliseconds. */
    long reporterHeardMs() {
        return plan.reporterHeard().map(ClockReading::monotonicMs).orElse(Long.MIN_VALUE);
    }

    /** Tells why a long watch in progress is to be replaced at once, empty if it is not. */
    Optional<ContactPlan.CheckReason> checkReason(ClockReading now) {
        if (role.get() != ContactRole.FOLLOWER) {
            return Optional.of(ContactPlan.CheckReason.EXPIRED);
        }
        return plan.checkReason(now, timing.batchDelayMs().getAsInt());
    }

    /** Returns what is reported of a kind, empty if other gateways need no report of it or nothing is known. */
    Optional<ContactReport.KindContact> report(ObjectKind kind, ClockReading now) {
        if (!followsReports()) {
            return Optional.empty();
        }
        return validUntil.map(
                until -> new ContactReport.KindContact(kind, changed.revision(), now.longestMsSince(until)));
    }

    /** Returns the age of what is known, in milliseconds; empty before the first response. */
    Optional<Long> ageMs(ClockReading now) {
        return validUntil.map(until -> plan.confirmedUntil()
                .map(confirmed -> Math.min(now.longestMsSince(until), now.longestMsSince(confirmed)))
                .orElseGet(() -> now.longestMsSince(until)));
    }
}
