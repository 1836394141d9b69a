package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.history.StoreOutage;

/** Guards against routes, keys and endpoints that stay in force for too long after the store was silent. */
class FeedOutageTest {
    /** The time after the end of an outage within which a gateway knows what changed during it. */
    private static final long CATCH_UP_MS = 3_000;
    /** How long the client waits for a response beyond the wait that the request names. */
    private static final long RESPONSE_MARGIN_MS = 600;

    private static final int FAILED_REQUESTS = 6;

    private final FeedFixture fixture = new FeedFixture(new LongestDelays());

    /** Draws the largest number each time, so that all delays are as long as possible. */
    private static final class LongestDelays implements RandomGenerator {
        @Override
        public int nextInt(int bound) {
            return bound - 1;
        }

        @Override
        public long nextLong() {
            return 0;
        }
    }

    @BeforeEach
    void startAndList() throws Exception {
        fixture.startAndList();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private HeldStore.Watch nextWatch() throws Exception {
        return FeedFixture.take(fixture.store.watches);
    }

    @Nested
    class WhileTheStoreIsSilent {
        @Test
        void aRequestThatIsLostDelaysTheNextOneByLessThanTheCatchUpTime() throws Exception {
            HeldStore.Watch lost = nextWatch();
            for (int request = 0; request < FAILED_REQUESTS; request++) {
                long failedNs = System.nanoTime();
                fixture.fail(lost, ErrorCode.STORE_UNAVAILABLE);
                HeldStore.Watch next = nextWatch();
                long delayMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failedNs);

                assertThat(lost.waitMs() + RESPONSE_MARGIN_MS + delayMs).isLessThan(CATCH_UP_MS);
                lost = next;
            }
        }
    }

    @Nested
    class AfterTheStoreHasAnswered {
        @Test
        void theFeedWaitsForChangesAgain() throws Exception {
            fixture.fail(nextWatch(), ErrorCode.STORE_UNAVAILABLE);
            fixture.answer(nextWatch(), FeedFixture.changes("changed"));

            assertThat(FeedFixture.take(fixture.received)).isEqualTo("changed");
            assertThat(nextWatch().waitMs()).isEqualTo(FeedFixture.MAX_WAIT_MS);
        }

        @Test
        void theOutageLastsFromTheLastResponseToTheLastRequestThatFailed() throws Exception {
            fixture.nowMs.set(5_000);
            fixture.fail(nextWatch(), ErrorCode.STORE_UNAVAILABLE);
            HeldStore.Watch second = nextWatch();
            fixture.nowMs.set(5_600);
            fixture.fail(second, ErrorCode.STORE_UNAVAILABLE);
            HeldStore.Watch third = nextWatch();
            fixture.nowMs.set(6_000);
            fixture.answer(third, FeedFixture.changes());

            assertThat(fixture.outages).containsExactly(new StoreOutage(1_000, 5_000, false));
        }
    }

    /** Guards against outages that are none: a full heap told all feeds of an unavailable store. */
    @Nested
    class WhenThereIsNoMemoryForAResponse {
        @Test
        void theStoreIsNotTakenForUnavailable() throws Exception {
            HeldStore.Watch waiting = nextWatch();
            fixture.runOnEventLoop(() -> waiting.response().fail(new OutOfMemoryError("heap")));
            fixture.fail(nextWatch(), ErrorCode.MEMORY_EXHAUSTED);
            HeldStore.Watch next = nextWatch();

            assertThat(next.waitMs()).isEqualTo(FeedFixture.MAX_WAIT_MS);
            fixture.answer(next, FeedFixture.changes("changed"));
            assertThat(FeedFixture.take(fixture.received)).isEqualTo("changed");
            assertThat(fixture.outages).isEmpty();
        }

        @Test
        void theFeedGoesOnAfterAFailureOfItsListener() throws Exception {
            fixture.failNextChange(new OutOfMemoryError("heap"));
            fixture.answer(nextWatch(), FeedFixture.changes("changed"));
            fixture.answer(nextWatch(), FeedFixture.changes("changed"));

            assertThat(FeedFixture.take(fixture.received)).isEqualTo("changed");
            assertThat(fixture.outages).isEmpty();
        }
    }

    @Nested
    class WhenAnotherFeedNoticesAnOutage {
        @Test
        void aWatchThatMayBeLostIsReplacedAtOnce() throws Exception {
            HeldStore.Watch waiting = nextWatch();
            fixture.nowMs.set(9_000);
            fixture.runOnEventLoop(() -> fixture.feed.noteOutage(new StoreOutage(1_000, 8_000, false)));

            assertThat(fixture.store.cancelled).containsExactly(waiting);
            HeldStore.Watch check = nextWatch();
            assertThat(check.waitMs()).isLessThan(FeedFixture.MAX_WAIT_MS);

            fixture.answer(check, FeedFixture.changes("changed"));

            assertThat(FeedFixture.take(fixture.received)).isEqualTo("changed");
            assertThat(fixture.outages).isEmpty();
        }

        @Test
        void aWatchThatWasAnsweredSinceGoesOn() throws Exception {
            fixture.nowMs.set(9_000);
            fixture.answer(nextWatch(), FeedFixture.changes());
            nextWatch();
            fixture.runOnEventLoop(() -> fixture.feed.noteOutage(new StoreOutage(1_000, 8_000, false)));

            assertThat(fixture.store.cancelled).isEmpty();
            assertThat(fixture.store.watches).isEmpty();
        }
    }

    /** Guards against store calls in an outage by kinds whose watches may wait for long anyway. */
    @Nested
    class AKindWithLongWaits {
        private static final int LONG_WAIT_MS = 25_000;

        private final FeedFixture slow = new FeedFixture(new LongestDelays(), LONG_WAIT_MS);

        @AfterEach
        void close() {
            slow.close();
        }

        private HeldStore.Watch next() throws Exception {
            return FeedFixture.take(slow.store.watches);
        }

        private long nextDelayMs() throws Exception {
            HeldStore.Watch last = next();
            long failedNs = System.nanoTime();
            slow.fail(last, ErrorCode.STORE_UNAVAILABLE);
            slow.store.watches.put(next());
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failedNs);
        }

        @Test
        void asksLessOftenFromTheFirstFailureOn() throws Exception {
            slow.startAndList();

            assertThat(nextDelayMs()).isGreaterThan((long) RetryBackoff.NOTICING.maxMs());
            assertThat(nextDelayMs()).isGreaterThan(2L * RetryBackoff.NOTICING.maxMs());
        }

        @Test
        void asksAtOnceWhenAnotherFeedNoticesTheEnd() throws Exception {
            slow.startAndList();
            slow.fail(next(), ErrorCode.STORE_UNAVAILABLE);
            long endedNs = System.nanoTime();
            slow.runOnEventLoop(() -> slow.feed.noteOutage(new StoreOutage(1_000, 1_000, false)));
            next();

            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endedNs))
                    .isLessThan(RetryBackoff.NOTICING.maxMs());
        }
    }
}
