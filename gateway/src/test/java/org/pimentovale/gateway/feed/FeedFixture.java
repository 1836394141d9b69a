package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.StoredContent;
import org.pimentovale.kernel.history.ContactRole;
import org.pimentovale.kernel.history.StoreOutage;
import org.pimentovale.kernel.history.StoreRevision;

/** A feed of endpoints whose store and clock the test controls. Used by one test at a time. */
final class FeedFixture implements AutoCloseable {
    static final int MAX_WAIT_MS = 2_000;
    static final long TIME_OF_DAY_MS = 1_000_000;
    private static final int AWAIT_TIMEOUT_S = 10;

    final HeldStore store = new HeldStore();
    final AtomicLong nowMs = new AtomicLong(1_000);
    /** What the listener received: "listed", the names of changed objects, and those of removed ones after a minus. */
    final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    final List<StoreOutage> outages = new CopyOnWriteArrayList<>();
    private final AtomicReference<Error> nextFailure = new AtomicReference<>();
    final ObjectFeed feed;
    private final Vertx vertx = Vertx.vertx();
    private final Context eventLoop = vertx.getOrCreateContext();

    private final class RecordingListener implements FeedListener {
        @Override
        public void listed(List<ObjectEntry> entries, Set<String> retained) {
            received.add("listed");
        }

        @Override
        public void changed(ObjectEntry entry) {
            Error failure = nextFailure.getAndSet(null);
            if (failure != null) {
                throw failure;
            }
            received.add(entry.name());
        }

        @Override
        public void removed(ObjectEntry entry) {
            received.add("-" + entry.name());
        }
    }

    FeedFixture(RandomGenerator random) {
        this(random, ContactRole.INDEPENDENT);
    }

    FeedFixture(RandomGenerator random, int maxWaitMs) {
        this(random, ContactRole.INDEPENDENT, maxWaitMs);
    }

    FeedFixture(RandomGenerator random, ContactRole role) {
        this(random, role, MAX_WAIT_MS);
    }

    private FeedFixture(RandomGenerator random, ContactRole role, int maxWaitMs) {
        feed = new ObjectFeed(
                vertx,
                store,
                ObjectKind.ENDPOINTS,
                new FeedTiming(maxWaitMs, () -> 0, 0),
                new RecordingListener(),
                random,
                new FeedClocks(nowMs::get, () -> TIME_OF_DAY_MS + nowMs.get()),
                era -> {},
                outages::add,
                () -> role);
    }

    /** Lets the listener fail when it receives the next change. */
    void failNextChange(Error failure) {
        nextFailure.set(failure);
    }

    @Override
    public void close() {
        vertx.close();
    }

    /** Starts the feed and answers its list with an empty one of revision 1. */
    void startAndList() throws Exception {
        runOnEventLoop(feed::start);
        answerList();
    }

    void answerList() throws Exception {
        answerPage(1, false);
        assertThat(take(received)).isEqualTo("listed");
    }

    /** Answers the next list request with objects that were all written at the page's revision. */
    void answerPage(long revision, boolean hasMore, String... names) throws Exception {
        StoreRevision pageRevision = new StoreRevision(0, revision);
        List<ObjectEntry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(entry(name, revision));
        }
        Promise<ObjectPage> list = take(store.lists);
        runOnEventLoop(() -> list.complete(new ObjectPage(entries, hasMore, pageRevision)));
    }

    static <T> T take(BlockingQueue<T> queue) throws Exception {
        return queue.poll(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs an action on the event loop of the feed and waits until it has ended. */
    void runOnEventLoop(Runnable action) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        eventLoop.runOnContext(run -> {
            action.run();
            ended.complete(null);
        });
        ended.get(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
    }

    void answer(HeldStore.Watch watch, ObjectChanges changes) throws Exception {
        runOnEventLoop(() -> watch.response().complete(changes));
    }

    void fail(HeldStore.Watch watch, ErrorCode code) throws Exception {
        runOnEventLoop(() -> watch.response().fail(ServingException.notRun(code, "no changes")));
    }

    static ObjectEntry entry(String name, long revision) {
        return new ObjectEntry(name, new StoreRevision(0, revision), Optional.empty(), StoredContent.MISSING);
    }

    /** Returns changes of revision 2. */
    static ObjectChanges changes(String... names) {
        List<ObjectChanges.Change> changes = List.of(names).stream()
                .map(name -> new ObjectChanges.Change(entry(name, 2), false))
                .toList();
        return new ObjectChanges(changes, new StoreRevision(0, 2));
    }
}
