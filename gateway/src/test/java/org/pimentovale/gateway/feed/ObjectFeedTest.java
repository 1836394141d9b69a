package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.pimentovale.gateway.port.ObjectSource;

class ObjectFeedTest {
    private static final int CHANGES = 4;
    private static final int GATHER_MS = 60;
    private static final int LISTS = 5;
    private static final long LEAST_TIME_OF_LISTS_MS = 690;

    private final Vertx vertx = Vertx.vertx();
    private final BusyStore store = new BusyStore();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** A store in which something has changed whenever it is asked, for the first calls. */
    private static final class BusyStore implements ObjectSource {
        private final List<Long> askedNs = new ArrayList<>();
        private final CompletableFuture<Void> quiet = new CompletableFuture<>();

        @Override
        public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
            return Future.succeededFuture(new ObjectPage(List.of(), false, 1));
        }

        @Override
        public Future<ObjectChanges> watch(ObjectKind kind, long revision, int waitMs) {
            askedNs.add(System.nanoTime());
            if (askedNs.size() > CHANGES) {
                quiet.complete(null);
                return Promise.<ObjectChanges>promise().future();
            }
            ObjectEntry entry = new ObjectEntry("name", revision + 1, MissingNode.getInstance());
            return Future.succeededFuture(
                    new ObjectChanges(List.of(new ObjectChanges.Change(entry, false)), revision + 1));
        }

        @Override
        public Future<Void> announce(InstanceRecord instance) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> withdraw(String name) {
            return Future.succeededFuture();
        }
    }

    /** A store whose lists always name a revision behind which it knows nothing. */
    private static final class ForgetfulStore implements ObjectSource {
        private final List<Long> listedNs = new ArrayList<>();
        private final CompletableFuture<Void> listedOften = new CompletableFuture<>();

        @Override
        public Future<ObjectPage> list(ObjectKind kind, Optional<String> after) {
            listedNs.add(System.nanoTime());
            if (listedNs.size() == LISTS) {
                listedOften.complete(null);
                return Promise.<ObjectPage>promise().future();
            }
            return Future.succeededFuture(new ObjectPage(List.of(), false, 1));
        }

        @Override
        public Future<ObjectChanges> watch(ObjectKind kind, long revision, int waitMs) {
            return Future.failedFuture(ServingException.notRun(ErrorCode.HISTORY_LOST, "behind " + revision));
        }

        @Override
        public Future<Void> announce(InstanceRecord instance) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> withdraw(String name) {
            return Future.succeededFuture();
        }
    }

    private static final class CountingListener implements FeedListener {
        private int changes;

        @Override
        public void listed(List<ObjectEntry> entries) {
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
        void asksLessAndLessOftenWhereEachListIsTooOldToGoOn() throws Exception {
            ForgetfulStore forgetful = new ForgetfulStore();
            ObjectFeed feed = new ObjectFeed(
                    vertx,
                    forgetful,
                    ObjectKind.INSTANCES,
                    new FeedPace(1_000, () -> 0),
                    new CountingListener(),
                    new SplittableRandom(1));
            vertx.runOnContext(run -> feed.start());
            forgetful.listedOften.get(10, TimeUnit.SECONDS);

            // The first repeat is made at once; the least pauses behind it are 100, 200 and 400 ms.
            long tookNs = forgetful.listedNs.get(LISTS - 1) - forgetful.listedNs.get(0);
            assertThat(tookNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(LEAST_TIME_OF_LISTS_MS));
        }

        @Test
        void letsChangesGatherBeforeItAsksAgain() throws Exception {
            CountingListener listener = new CountingListener();
            ObjectFeed feed = new ObjectFeed(
                    vertx,
                    store,
                    ObjectKind.ENDPOINTS,
                    new FeedPace(1_000, () -> GATHER_MS),
                    listener,
                    new SplittableRandom(1));
            vertx.runOnContext(run -> feed.start());
            store.quiet.get(10, TimeUnit.SECONDS);

            assertThat(listener.changes).isEqualTo(CHANGES);
            for (int call = 1; call < store.askedNs.size(); call++) {
                long apartNs = store.askedNs.get(call) - store.askedNs.get(call - 1);
                assertThat(apartNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(GATHER_MS - 1));
            }
        }
    }
}
