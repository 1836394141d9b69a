package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.InstanceRecord;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.PlatformStore;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.stream.HistoryCheckpoint;

/** Verifies that a feed is confirmed only by a response to a request that was sent after the question. */
class FeedConfirmationTest {
    private static final int MAX_WAIT_MS = 2_000;
    private static final long TIME_OF_DAY_MS = 1_000_000;
    private static final StoreRevision LISTED = new StoreRevision(0, 1);

    private final Vertx vertx = Vertx.vertx();
    private final Context eventLoop = vertx.getOrCreateContext();
    private final HeldStore store = new HeldStore();
    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private ObjectFeed feed;

    private record Watch(int waitMs, Promise<ObjectChanges> response) {}

    /** A store whose responses the test gives. */
    private static final class HeldStore implements PlatformStore {
        private final BlockingQueue<Promise<ObjectPage>> lists = new LinkedBlockingQueue<>();
        private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();

        @Override
        public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
            Promise<ObjectPage> response = Promise.promise();
            lists.add(response);
            return response.future();
        }

        @Override
        public Future<ObjectChanges> watch(ObjectKind kind, long revision, int waitMs) {
            Promise<ObjectChanges> response = Promise.promise();
            watches.add(new Watch(waitMs, response));
            return response.future();
        }

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

    private final class RecordingListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            received.add("listed");
        }

        @Override
        public void changed(ObjectEntry entry) {
            received.add(entry.name());
        }

        @Override
        public void removed(ObjectEntry entry) {
            throw new AssertionError(entry);
        }
    }

    @BeforeEach
    void startAndList() throws Exception {
        feed = new ObjectFeed(
                vertx,
                store,
                ObjectKind.ENDPOINTS,
                new FeedTiming(MAX_WAIT_MS, () -> 0, 0),
                new RecordingListener(),
                new SplittableRandom(1),
                new FeedClocks(nowMs::get, () -> TIME_OF_DAY_MS + nowMs.get()),
                era -> {});
        runOnEventLoop(feed::start);
        answerList();
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private void answerList() throws Exception {
        Promise<ObjectPage> list = take(store.lists);
        runOnEventLoop(() -> list.complete(new ObjectPage(List.of(), false, LISTED)));
        assertThat(take(received)).isEqualTo("listed");
    }

    private static <T> T take(BlockingQueue<T> queue) throws Exception {
        return queue.poll(10, TimeUnit.SECONDS);
    }

    /** Runs an action on the event loop of the feed and waits until it has ended. */
    private void runOnEventLoop(Runnable action) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        eventLoop.runOnContext(run -> {
            action.run();
            ended.complete(null);
        });
        ended.get(10, TimeUnit.SECONDS);
    }

    private CompletableFuture<Long> confirm() throws Exception {
        CompletableFuture<Long> confirmed = new CompletableFuture<>();
        runOnEventLoop(() -> feed.confirm().onSuccess(confirmed::complete).onFailure(confirmed::completeExceptionally));
        return confirmed;
    }

    private void answer(Watch watch, ObjectChanges changes) throws Exception {
        runOnEventLoop(() -> watch.response().complete(changes));
    }

    private void fail(Watch watch, ErrorCode code) throws Exception {
        runOnEventLoop(() -> watch.response().fail(ServingException.notRun(code, "no changes")));
    }

    private static ObjectChanges changes(String... names) {
        List<ObjectChanges.Change> changes = List.of(names).stream()
                .map(name ->
                        new ObjectEntry(name, new StoreRevision(0, 2), Optional.empty(), MissingNode.getInstance()))
                .map(entry -> new ObjectChanges.Change(entry, false))
                .toList();
        return new ObjectChanges(changes, new StoreRevision(0, 2));
    }

    @Test
    void aWatchSentBeforeTheQuestionConfirmsNothing() throws Exception {
        Watch before = take(store.watches);
        nowMs.addAndGet(500);
        CompletableFuture<Long> confirmed = confirm();
        Watch check = take(store.watches);
        answer(before, changes("outdated"));

        assertThat(check.waitMs()).isEqualTo(1);
        assertThat(confirmed.isDone()).isFalse();

        answer(check, changes("new"));

        assertThat(confirmed.get(10, TimeUnit.SECONDS)).isEqualTo(500);
        assertThat(take(received)).isEqualTo("new");
        assertThat(received).isEmpty();
        assertThat(take(store.watches).waitMs()).isEqualTo(MAX_WAIT_MS);
    }

    @Test
    void failsWithTheCheck() throws Exception {
        take(store.watches);
        CompletableFuture<Long> confirmed = confirm();
        fail(take(store.watches), ErrorCode.STORE_UNAVAILABLE);

        assertThrows(ExecutionException.class, () -> confirmed.get(10, TimeUnit.SECONDS));
    }

    @Test
    void isGivenByTheListThatFollowsLostHistory() throws Exception {
        take(store.watches);
        nowMs.addAndGet(500);
        CompletableFuture<Long> confirmed = confirm();
        fail(take(store.watches), ErrorCode.HISTORY_LOST);
        answerList();

        assertThat(confirmed.get(10, TimeUnit.SECONDS)).isEqualTo(500);
    }

    @Test
    void isSharedByQuestionsThatArriveDuringACheck() throws Exception {
        take(store.watches);
        CompletableFuture<Long> first = confirm();
        Watch check = take(store.watches);
        CompletableFuture<Long> second = confirm();
        CompletableFuture<Long> third = confirm();
        answer(check, changes());
        first.get(10, TimeUnit.SECONDS);

        assertThat(second.isDone()).isFalse();

        assertThat(take(store.watches).waitMs()).isEqualTo(MAX_WAIT_MS);
        answer(take(store.watches), changes());
        second.get(10, TimeUnit.SECONDS);
        third.get(10, TimeUnit.SECONDS);
        assertThat(take(store.watches).waitMs()).isEqualTo(MAX_WAIT_MS);
        assertThat(store.watches).isEmpty();
    }
}
