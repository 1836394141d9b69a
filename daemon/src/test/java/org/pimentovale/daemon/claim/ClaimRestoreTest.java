package org.pimentovale.daemon.claim;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.daemon.RestorableStore;
import org.pimentovale.daemon.metric.DaemonMetrics;
import org.pimentovale.kernel.claim.ClaimState;
import org.pimentovale.kernel.time.MonotonicClock;
import org.pimentovale.store.InMemoryObjectTable;

class ClaimRestoreTest {
    private static final String NAME = ClaimLedger.claimName("growers", "booking", "key-1");
    private static final String DIGEST = "digest";
    private static final long DEADLINE_MS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final MonotonicClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    private final RestorableStore store = new RestorableStore(vertx);

    @AfterEach
    void close() {
        vertx.close();
    }

    private ClaimLedger ledger(String owner) {
        return new ClaimLedger(vertx, store, new StoreHealth(clock), clock, new DaemonMetrics(), owner);
    }

    private Future<HeldClaim> acquire(ClaimLedger ledger, String attempt) {
        return ledger.acquire(NAME, attempt, DIGEST, clock.nowMs() + DEADLINE_MS);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(DEADLINE_MS, TimeUnit.MILLISECONDS);
    }

    @Nested
    class AClaimThatTheStoreLost {
        @Test
        void isNotGivenToAnotherAttempt() throws Exception {
            ClaimLedger first = ledger("entry-0");
            HeldClaim claim = await(acquire(first, "attempt-1"));
            await(first.record(claim, ClaimState.DONE, 200, Optional.of("booked")));

            store.restore(new InMemoryObjectTable());

            Future<HeldClaim> second = acquire(ledger("entry-1"), "attempt-2");
            boolean acquired = await(second.map(held -> held.claim().attempt().equals("attempt-2"))
                    .otherwise(false));
            assertThat(acquired).isFalse();
        }
    }
}
