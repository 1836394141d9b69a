package org.pimentovale.gateway.feed;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.log.Events;

/**
 * Watches one kind of objects: lists them, then watches for changes, and lists them again if the store no longer has
 * the changes.
 *
 * <p>A watch request that ends without a response indicates a dead connection or an unavailable store; the next request
 * uses a new connection and continues after the last revision. Invariant: the listener never receives a revision older
 * than one it has received. Not thread safe; used on one event loop.
 */
public final class ObjectFeed {
    private static final Logger LOG = Logger.getLogger(ObjectFeed.class);
    private static final int INITIAL_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_MS = 800;

    private final Vertx vertx;
    private final PlatformStore store;
    private final ObjectKind kind;
    private final FeedTiming timing;
    private final FeedListener listener;
    private final RandomGenerator random;
    private StoreRevision revision = StoreRevision.NONE;
    private boolean storeUnavailable;
    private int backoffMs = INITIAL_BACKOFF_MS;
    private boolean lastFailureWasHistoryLoss;
    private boolean stopped;

    /**
     * Creates a feed, which does nothing until it is started.
     *
     * @param vertx schedules the requests
     * @param store the store
     * @param kind the kind to watch
     * @param timing the timing of the requests to the store
     * @param listener receives the objects and their changes
     * @param random adds jitter to the backoff, so that gateways do not retry at the same time
     */
    public ObjectFeed(
            Vertx vertx,
            PlatformStore store,
            ObjectKind kind,
            FeedTiming timing,
            FeedListener listener,
            RandomGenerator random) {
        this.vertx = vertx;
        this.store = store;
        this.kind = kind;
        this.timing = timing;
        this.listener = listener;
        this.random = random;
    }

    /** Starts with a list request. */
    public void start() {
        list(new ArrayList<>());
    }

    /** Stops the feed when the current request has completed. */
    public void stop() {
        stopped = true;
    }

    private void list(List<ObjectEntry> listed) {
        Optional<String> after = listed.isEmpty()
                ? Optional.empty()
                : Optional.of(listed.get(listed.size() - 1).name());
        store.list(kind, after).onSuccess(page -> handlePage(listed, page)).onFailure(this::handleFailure);
    }

    private void handlePage(List<ObjectEntry> listed, ObjectPage page) {
        listed.addAll(page.entries());
        if (page.hasMore() && !page.entries().isEmpty()) {
            list(listed);
            return;
        }
        if (page.revision().revision() < revision.revision()) {
            Events.warn(
                    LOG,
                    "list_refused",
                    "kind",
                    kind,
                    "era",
                    page.revision().era(),
                    "revision",
                    page.revision().revision(),
                    "known_era",
                    revision.era(),
                    "known_revision",
                    revision.revision());
            handleFailure(ServingException.notRun(
                    ErrorCode.STORE_UNAVAILABLE, "the list is older than the last known revision"));
            return;
        }
        markStoreAvailable();
        revision = page.revision();
        Events.info(
                LOG,
                "objects_listed",
                "kind",
                kind,
                "era",
                revision.era(),
                "revision",
                revision.revision(),
                "objects",
                listed.size());
        listener.listed(listed);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        store.watch(kind, revision.revision(), timing.maxWaitMs())
                .onSuccess(this::handleChanges)
                .onFailure(this::handleFailure);
    }

    private void handleChanges(ObjectChanges changes) {
        markStoreAvailable();
        backoffMs = INITIAL_BACKOFF_MS;
        lastFailureWasHistoryLoss = false;
        for (ObjectChanges.Change change : changes.changes()) {
            if (change.removed()) {
                listener.removed(change.entry());
            } else {
                listener.changed(change.entry());
            }
        }
        revision = revision.revision() < changes.revision().revision() ? changes.revision() : revision;
        int batchDelayMs = timing.batchDelayMs().getAsInt();
        if (changes.changes().isEmpty() || batchDelayMs == 0) {
            watch();
        } else {
            vertx.setTimer(batchDelayMs, fired -> watch());
        }
    }

    private void markStoreAvailable() {
        if (storeUnavailable) {
            storeUnavailable = false;
            Events.info(LOG, "store_available", "kind", kind, "era", revision.era(), "revision", revision.revision());
            listener.storeAvailable();
        }
    }

    private void handleFailure(Throwable cause) {
        ServingException failure = ServingException.of(cause);
        boolean historyLost = failure.code() == ErrorCode.HISTORY_LOST;
        if (historyLost) {
            Events.warn(LOG, "history_lost", "kind", kind, "era", revision.era(), "revision", revision.revision());
        } else if (!storeUnavailable) {
            storeUnavailable = true;
            Events.warn(
                    LOG,
                    "store_unavailable",
                    "kind",
                    kind,
                    "era",
                    revision.era(),
                    "revision",
                    revision.revision(),
                    "failure",
                    failure.getMessage());
        }
        if (stopped) {
            return;
        }
        // The first list request after lost history is sent without backoff. If the history after the new list is lost
        // as well, another immediate request would only add load to the store.
        int delayMs = historyLost && !lastFailureWasHistoryLoss ? 1 : backoffMs / 2 + random.nextInt(backoffMs);
        lastFailureWasHistoryLoss = historyLost;
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        boolean relist = historyLost || revision.equals(StoreRevision.NONE);
        vertx.setTimer(delayMs, fired -> {
            if (relist) {
                list(new ArrayList<>());
            } else {
                watch();
            }
        });
    }
}
