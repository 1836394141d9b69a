package org.pimentovale.gateway.feed;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.kernel.history.ListVerdict;
import org.pimentovale.kernel.history.ObjectHistory;
import org.pimentovale.kernel.limit.ContentBudget;
import org.pimentovale.kernel.time.MonotonicClock;

/**
 * The objects of a feed that are in force, and what gateways tell each other of them after the store was restored.
 *
 * <p>Invariants: an object changes only if the feed's history accepts the change; the content of all objects in force
 * fits the budget. Not thread safe; used on
 * one event loop.
 */
final class FeedObjects {
    private final ObjectKind kind;
    private final ObjectHistory history;
    private final FeedListener listener;
    private final MonotonicClock clock;
    private final FeedLog log;
    private final BudgetedEntries entries;

    /**
     * Creates an empty set of objects.
     *
     * @param kind the kind of the objects
     * @param history decides which objects and changes are accepted
     * @param listener receives the objects and their changes
     * @param clock the source of monotonic time
     * @param log the feed's log
     * @param budget the memory for the content of the objects
     */
    FeedObjects(
            ObjectKind kind,
            ObjectHistory history,
            FeedListener listener,
            MonotonicClock clock,
            FeedLog log,
            ContentBudget budget) {
        this.kind = kind;
        this.history = history;
        this.listener = listener;
        this.clock = clock;
        this.log = log;
        this.entries = new BudgetedEntries(budget);
    }

    /** Replaces the objects by a complete list, as far as the history accepts it. */
    void replace(List<ObjectEntry> listed, ListVerdict verdict) {
        List<ObjectEntry> accepted = select(listed, verdict.accepted());
        entries.retainAll(verdict.retained());
        accepted.forEach(entries::put);
        listener.listed(accepted, verdict.retained());
        select(listed, verdict.reappeared()).forEach(listener::reappeared);
    }

    /** Tells whether this state of an object is in force, and its content could be read. */
    boolean isKnown(ObjectEntry entry) {
        return entries.get(entry.name())
                .filter(inForce -> inForce.revision().equals(entry.revision()))
                .filter(inForce -> !inForce.value().isRejected())
                .isPresent();
    }

    private static List<ObjectEntry> select(List<ObjectEntry> listed, Set<String> names) {
        return listed.stream().filter(entry -> names.contains(entry.name())).toList();
    }

    /** Applies a change; one whose listener fails is skipped, as it would fail again. */
    void apply(ObjectChanges.Change change) {
        try {
            applyBelieved(change);
        } catch (RuntimeException failure) {
            log.warn(
                    "change_failed",
                    change.entry().revision(),
                    "name",
                    change.entry().name(),
                    "failure",
                    failure);
        }
    }

    private void applyBelieved(ObjectChanges.Change change) {
        ObjectEntry entry = change.entry();
        boolean accepted =
                change.removed() ? history.acceptRemoval(entry.write()) : history.acceptChange(entry.write());
        if (!accepted) {
            log.info("older_write_ignored", entry.revision(), "name", entry.name(), "removed", change.removed());
        } else if (change.removed()) {
            entries.remove(entry.name());
            listener.removed(entry);
        } else {
            change(entry);
        }
    }

    /** Returns what was confirmed before the restore and is not written again yet, as far as its content is known. */
    Optional<ConfirmedObjects> confirmed() {
        if (!history.settling()) {
            return Optional.empty();
        }
        List<ObjectEntry> present = history.unconfirmed().stream()
                .flatMap(write -> entries.get(write.name()).stream())
                .filter(entry -> !entry.value().isRejected())
                .toList();
        return Optional.of(new ConfirmedObjects(
                kind, clock.nowMs() - history.restoreNoticedMs(), present, history.unconfirmedRemovals()));
    }

    /** Takes over what was confirmed to another gateway. */
    void learn(ConfirmedObjects confirmed) {
        if (!history.settling()) {
            history.learnRestore(clock.nowMs() - confirmed.restoredAgoMs());
        }
        confirmed.present().stream()
                .filter(entry -> history.learnPresent(entry.write()))
                .forEach(this::change);
        confirmed.removed().stream()
                .filter(history::learnRemoval)
                .flatMap(write -> entries.remove(write.name()).stream())
                .forEach(listener::removed);
        log.info(
                "confirmed_objects_learned",
                history.revision(),
                "restored_ago_ms",
                confirmed.restoredAgoMs(),
                "present",
                confirmed.present().size(),
                "removed",
                confirmed.removed().size());
    }

    /**
     * Puts a state in force. Objects that lose their content for want of memory are passed on without it, so that what
     * listeners keep of all objects is bounded as well.
     */
    private void change(ObjectEntry entry) {
        List<ObjectEntry> dropped = entries.put(entry);
        if (dropped.stream().noneMatch(other -> other.name().equals(entry.name()))) {
            listener.changed(entry);
        }
        dropped.forEach(this::changeWithoutContent);
    }

    private void changeWithoutContent(ObjectEntry entry) {
        log.warn("content_dropped", entry.revision(), "name", entry.name());
        listener.changed(entry);
    }
}
