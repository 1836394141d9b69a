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
import org.pimentovale.gateway.port.ObjectSource;
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
    private static final int FIRST_PAUSE_MS = 100;
    private static final int LONGEST_PAUSE_MS = 800;

    private final Vertx vertx;
    private final ObjectSource source;
    private final ObjectKind kind;
    private final FeedPace pace;
    private final FeedListener listener;
    private final RandomGenerator random;
    private long revision = -1;
    private boolean away;
    private int pauseMs = FIRST_PAUSE_MS;
    private boolean historyLostBefore;
    private boolean stopped;

    /**
     * Creates a feed that does not run yet.
     *
     * @param vertx runs timers
     * @param source the store
     * @param kind the kind to follow
     * @param pace how often the store is asked
     * @param listener hears what is learnt
     * @param random spreads the tries of several gateways
     */
    public ObjectFeed(
            Vertx vertx,
            ObjectSource source,
            ObjectKind kind,
            FeedPace pace,
            FeedListener listener,
            RandomGenerator random) {
        this.vertx = vertx;
        this.source = source;
        this.kind = kind;
        this.pace = pace;
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
        source.list(kind, after).onSuccess(page -> takePage(listed, page)).onFailure(this::lost);
    }

    private void takePage(List<ObjectEntry> listed, ObjectPage page) {
        listed.addAll(page.entries());
        if (page.more() && !page.entries().isEmpty()) {
            list(listed);
            return;
        }
        if (page.revision() < revision) {
            lost(ServingException.notRun(ErrorCode.STORE_UNAVAILABLE, "the list is older than what is known"));
            return;
        }
        answered();
        revision = page.revision();
        Events.info(LOG, "objects_listed", "kind", kind, "revision", revision, "objects", listed.size());
        listener.listed(listed);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        source.watch(kind, revision, pace.longestWaitMs())
                .onSuccess(this::takeChanges)
                .onFailure(this::lost);
    }

    private void takeChanges(ObjectChanges changes) {
        answered();
        pauseMs = FIRST_PAUSE_MS;
        historyLostBefore = false;
        for (ObjectChanges.Change change : changes.changes()) {
            if (change.removed()) {
                listener.removed(change.entry());
            } else {
                listener.changed(change.entry());
            }
        }
        revision = Math.max(revision, changes.revision());
        int gatherMs = pace.gatherMs().getAsInt();
        if (changes.changes().isEmpty() || gatherMs == 0) {
            watch();
        } else {
            vertx.setTimer(gatherMs, fired -> watch());
        }
    }

    private void answered() {
        if (away) {
            away = false;
            Events.info(LOG, "store_regained", "kind", kind, "revision", revision);
            listener.regained();
        }
    }

    private void lost(Throwable cause) {
        ServingException failure = ServingException.of(cause);
        boolean historyLost = failure.code() == ErrorCode.HISTORY_LOST;
        if (historyLost) {
            Events.warn(LOG, "history_lost", "kind", kind, "revision", revision);
        } else if (!away) {
            away = true;
            Events.warn(LOG, "store_lost", "kind", kind, "revision", revision, "failure", failure.getMessage());
        }
        if (stopped) {
            return;
        }
        // A list that names a lost revision again does not help; asking at once would only burden the store.
        int pause = historyLost && !historyLostBefore ? 1 : pauseMs / 2 + random.nextInt(pauseMs);
        historyLostBefore = historyLost;
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        boolean listAgain = historyLost || revision < 0;
        vertx.setTimer(pause, fired -> {
            if (listAgain) {
                list(new ArrayList<>());
            } else {
                watch();
            }
        });
    }
}
