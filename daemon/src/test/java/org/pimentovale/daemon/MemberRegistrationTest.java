package org.pimentovale.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.kernel.routing.LeastInFlightPolicy;
import org.pimentovale.store.EmbeddedPlatform;
import org.pimentovale.store.InMemoryObjectTable;

class MemberRegistrationTest {
    private static final String KIND = "entries";
    private static final int TIMEOUT_S = 10;

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryObjectTable objects = new InMemoryObjectTable();
    private final ServingTables tables = new ServingTables(
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            number -> new SplittableRandom(number),
            new LeastInFlightPolicy(),
            new MemberTable(new Member("entry-0", "zone-a", "", "")),
            100);

    @AfterEach
    void close() {
        vertx.close();
    }

    @Nested
    class AfterARestore {
        @Test
        void aMissingRegistrationIsWrittenAgain() throws Exception {
            MemberRegistration registration = new MemberRegistration(
                    vertx, new EmbeddedPlatform(vertx, objects), new StoreHealth(tables.clock()), tables);
            registration.start().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
            long version = objects.read(KIND, "entry-0").orElseThrow().version();
            CompletableFuture<String> writtenAgain = new CompletableFuture<>();
            objects.addListener(object -> writtenAgain.complete(object.name()));

            objects.delete(KIND, "entry-0", version);

            assertThat(writtenAgain.get(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("entry-0");
        }
    }
}
