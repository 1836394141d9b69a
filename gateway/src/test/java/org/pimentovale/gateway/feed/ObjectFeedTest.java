package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PendingWatch;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.gateway.port.StoredContent;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

class ObjectFeedTest {
    private static final FeedClocks CLOCKS =
            new FeedClocks(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis);
    private static final int CHANGE_COUNT = 4;
    private static final int BATCH_DELAY_MS = 60;
    private static final int LIST_COUNT = 5;
    private static final long MIN_LIST_DURATION_MS = 690;

    private final Vertx vertx = Vertx.vertx();
    private final ChangingStore changingStore = new ChangingStore();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** A store that accepts and ignores all writes. */
    private abstract static class WriteAcceptingStore implements PlatformStore {
        @Override
        public Future<Void> register(InstanceRecord instance) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> deregister(String name) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> storeCheckpoint(HistoryCheckpoint checkpoint) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Optional<HistoryCheckpoint>> readCheckpoint() {
            return Future.succeededFuture(Optional.empty());
        }

        @Override
        public Future<Void> storeQuarantine(SuspectKey key) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> removeQuarantine(SuspectKey key) {
            return Future.succeededFuture();
        }
    }

    /** A store that responds to each of the first watch requests with a change, and to no later one. */
    private static final class ChangingStore extends WriteAcceptingStore {
        private final List<Long> watchedAtNs = new ArrayList<>();
        private final CompletableFuture<Void> allChangesDelivered = new CompletableFuture<>();

        @Override
        public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
            return Future.succeededFuture(new ObjectPage(List.of(), false, new StoreRevision(0, 1)));
        }

        @Override
        public PendingWatch watch(ObjectKind kind, long revision, int waitMs) {
            watchedAtNs.add(System.nanoTime());
            if (watchedAtNs.size() > CHANGE_COUNT) {
                allChangesDelivered.complete(null);
                return PendingWatch.of(Promise.<ObjectChanges>promise().future());
            }
            ObjectEntry entry = new ObjectEntry(
                    "name", new StoreRevision(0, revision + 1), Optional.empty(), StoredContent.MISSING);
            return PendingWatch.of(Future.succeededFuture(new ObjectChanges(
                    List.of(new ObjectChanges.Change(entry, false)), new StoreRevision(0, revision + 1))));
        }
    }

    /** A store whose lists name a revision after which it has no history, so that every watch request fails. */
    private static final class HistoryLosingStore extends WriteAcceptingStore {
        private final List<Long> listedAtNs = new ArrayList<>();
        private final CompletableFuture<Void> listLimitReached = new CompletableFuture<>();

        @Override
        public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
            listedAtNs.add(System.nanoTime());
            if (listedAtNs.size() == LIST_COUNT) {
                listLimitReached.complete(null);
                return Promise.<ObjectPage>promise().future();
            }
            return Future.succeededFuture(new ObjectPage(List.of(), false, new StoreRevision(0, 1)));
        }

        @Override
        public PendingWatch watch(ObjectKind kind, long revision, int waitMs) {
            return PendingWatch.of(
                    Future.failedFuture(ServingException.notRun(ErrorCode.HISTORY_LOST, "behind " + revision)));
        }
    }

    private static final class FailingListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            throw new IllegalStateException("list");
        }

        @Override
        public void changed(ObjectEntry entry) {
            throw new IllegalStateException("change");
        }

        @Override
        public void removed(ObjectEntry entry) {
            throw new IllegalStateException("removal");
        }
    }

    private static final class CountingListener implements FeedListener {
        private int changes;

        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            assertThat(entries).isEmpty();
        }

        @Override
        public void changed(ObjectEntry entry) {
            changes++;
        }

        @Override
        public void removed(ObjectEntry entry) {
            throw new AssertionError(entry);
        }
    }

    @Nested
    class AFeed {
        @Test
        void followsFurtherChangesWhenItsListenerFails() throws Exception {
            ObjectFeed feed = new ObjectFeed(
                    vertx,
                    changingStore,
                    ObjectKind.ENDPOINTS,
                    new FeedTiming(1_000, () -> 0, 0),
                    new FailingListener(),
                    new SplittableRandom(1),
                    CLOCKS,
                    era -> {},
                    outage -> {});
            vertx.exceptionHandler(uncaught -> {});
            vertx.runOnContext(run -> feed.start());

            changingStore.allChangesDelivered.get(5, TimeUnit.SECONDS);
        }

        @Test
        void backsOffWhenEachListedRevisionIsTooOldToWatch() throws Exception {
            HistoryLosingStore historyLosingStore = new HistoryLosingStore();
            ObjectFeed feed = new ObjectFeed(
                    vertx,
                    historyLosingStore,
                    ObjectKind.INSTANCES,
                    new FeedTiming(1_000, () -> 0, 0),
                    new CountingListener(),
                    new SplittableRandom(1),
                    CLOCKS,
                    era -> {},
                    outage -> {});
            vertx.runOnContext(run -> feed.start());
            historyLosingStore.listLimitReached.get(10, TimeUnit.SECONDS);

            // The first retry is sent without backoff; the pauses after it are at least 100, 200 and 400 ms.
            long durationNs = historyLosingStore.listedAtNs.get(LIST_COUNT - 1) - historyLosingStore.listedAtNs.get(0);
            assertThat(durationNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(MIN_LIST_DURATION_MS));
        }

        @Test
        void waitsForFurtherChangesBeforeTheNextWatch() throws Exception {
            CountingListener listener = new CountingListener();
            ObjectFeed feed = new ObjectFeed(
                    vertx,
                    changingStore,
                    ObjectKind.ENDPOINTS,
                    new FeedTiming(1_000, () -> BATCH_DELAY_MS, 0),
                    listener,
                    new SplittableRandom(1),
                    CLOCKS,
                    era -> {},
                    outage -> {});
            vertx.runOnContext(run -> feed.start());
            changingStore.allChangesDelivered.get(10, TimeUnit.SECONDS);

            assertThat(listener.changes).isEqualTo(CHANGE_COUNT);
            for (int call = 1; call < changingStore.watchedAtNs.size(); call++) {
                long intervalNs = changingStore.watchedAtNs.get(call) - changingStore.watchedAtNs.get(call - 1);
                assertThat(intervalNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(BATCH_DELAY_MS - 1));
            }
        }
    }
}
