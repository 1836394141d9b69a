package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;

/** Verifies that a feed is confirmed only by a response to a request that was sent after the question. */
class FeedConfirmationTest {
    private final FeedFixture fixture = new FeedFixture(new SplittableRandom(1));
    private final HeldStore store = fixture.store;
    private final AtomicLong nowMs = fixture.nowMs;

    @BeforeEach
    void startAndList() throws Exception {
        fixture.startAndList();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private CompletableFuture<Long> confirm() throws Exception {
        CompletableFuture<Long> confirmed = new CompletableFuture<>();
        fixture.runOnEventLoop(() ->
                fixture.feed.confirm().onSuccess(confirmed::complete).onFailure(confirmed::completeExceptionally));
        return confirmed;
    }

    @Test
    void aWatchSentBeforeTheQuestionConfirmsNothing() throws Exception {
        HeldStore.Watch before = FeedFixture.take(store.watches);
        nowMs.addAndGet(500);
        CompletableFuture<Long> confirmed = confirm();
        HeldStore.Watch check = FeedFixture.take(store.watches);
        fixture.answer(before, FeedFixture.changes("outdated"));

        assertThat(check.waitMs()).isEqualTo(1);
        assertThat(confirmed.isDone()).isFalse();

        fixture.answer(check, FeedFixture.changes("new"));

        assertThat(confirmed.get(10, TimeUnit.SECONDS)).isEqualTo(500);
        assertThat(FeedFixture.take(fixture.received)).isEqualTo("new");
        assertThat(fixture.received).isEmpty();
        assertThat(FeedFixture.take(store.watches).waitMs()).isEqualTo(FeedFixture.MAX_WAIT_MS);
    }

    @Test
    void failsWithTheCheck() throws Exception {
        FeedFixture.take(store.watches);
        CompletableFuture<Long> confirmed = confirm();
        fixture.fail(FeedFixture.take(store.watches), ErrorCode.STORE_UNAVAILABLE);

        assertThrows(ExecutionException.class, () -> confirmed.get(10, TimeUnit.SECONDS));
    }

    @Test
    void isGivenByTheListThatFollowsLostHistory() throws Exception {
        FeedFixture.take(store.watches);
        nowMs.addAndGet(500);
        CompletableFuture<Long> confirmed = confirm();
        fixture.fail(FeedFixture.take(store.watches), ErrorCode.HISTORY_LOST);
        fixture.answerList();

        assertThat(confirmed.get(10, TimeUnit.SECONDS)).isEqualTo(500);
    }

    @Test
    void isSharedByQuestionsThatArriveDuringACheck() throws Exception {
        FeedFixture.take(store.watches);
        CompletableFuture<Long> first = confirm();
        HeldStore.Watch check = FeedFixture.take(store.watches);
        CompletableFuture<Long> second = confirm();
        CompletableFuture<Long> third = confirm();
        fixture.answer(check, FeedFixture.changes());
        first.get(10, TimeUnit.SECONDS);

        assertThat(second.isDone()).isFalse();

        assertThat(FeedFixture.take(store.watches).waitMs()).isEqualTo(FeedFixture.MAX_WAIT_MS);
        fixture.answer(FeedFixture.take(store.watches), FeedFixture.changes());
        second.get(10, TimeUnit.SECONDS);
        third.get(10, TimeUnit.SECONDS);
        assertThat(FeedFixture.take(store.watches).waitMs()).isEqualTo(FeedFixture.MAX_WAIT_MS);
        assertThat(store.watches).isEmpty();
    }
}
