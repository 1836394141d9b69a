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
import org.pimentovale.log.Events;

/**
 * Follows one kind of objects: a list first, then its changes, and a list again where the store has lost them.
 *
 * <p>A wait that ends without an answer means a silent connection or a store that is away; the next try uses a new
 * connection and goes on behind the last revision. Invariant: the listener hears of no revision older than one it has
 * heard of. Not thread safe; used on one event loop.
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
    private long revision = -1;
    private boolean storeUnavailable;
    private int backoffMs = INITIAL_BACKOFF_MS;
    private boolean lastFailureWasHistoryLoss;
    private boolean stopped;

    /**
     * Creates a feed that does not run yet.
     *
     * @param vertx runs timers
     * @param store the store
     * @param kind the kind to follow
     * @param timing how often the store is asked
     * @param listener hears what is learnt
     * @param random spreads the tries of several gateways
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

    /** Begins to follow. */
    public void start() {
        list(new ArrayList<>());
    }

    /** Ends the feed after the call that is under way. */
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
        if (page.revision() < revision) {
            handleFailure(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "the list is older than what is known"));
            return;
        }
        markStoreAvailable();
        revision = page.revision();
        Events.info(LOG, "objects_listed", "kind", kind, "revision", revision, "objects", listed.size());
        listener.listed(listed);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        store.watch(kind, revision, timing.maxWaitMs())
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
        revision = Math.max(revision, changes.revision());
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
            Events.info(LOG, "store_regained", "kind", kind, "revision", revision);
            listener.storeAvailable();
        }
    }

    private void handleFailure(Throwable cause) {
        ServingException failure = ServingException.of(cause);
        boolean historyLost = failure.code() == ErrorCode.HISTORY_LOST;
        if (historyLost) {
            Events.warn(LOG, "history_lost", "kind", kind, "revision", revision);
        } else if (!storeUnavailable) {
            storeUnavailable = true;
            Events.warn(LOG, "store_lost", "kind", kind, "revision", revision, "failure", failure.getMessage());
        }
        if (stopped) {
            return;
        }
        // A list that names a lost revision again does not help; asking at once would only burden the store.
        int delayMs = historyLost && !lastFailureWasHistoryLoss ? 1 : backoffMs / 2 + random.nextInt(backoffMs);
        lastFailureWasHistoryLoss = historyLost;
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        boolean relist = historyLost || revision < 0;
        vertx.setTimer(delayMs, fired -> {
            if (relist) {
                list(new ArrayList<>());
            } else {
                watch();
            }
        });
    }
}
