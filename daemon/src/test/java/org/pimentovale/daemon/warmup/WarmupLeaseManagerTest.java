package org.pimentovale.daemon.warmup;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.daemon.claim.StoreHealth;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.ServingTables;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.kernel.endpoint.Warmth;
import org.pimentovale.kernel.membership.Member;
import org.pimentovale.kernel.membership.MemberTable;
import org.pimentovale.kernel.routing.LeastInFlightPolicy;
import org.pimentovale.kernel.schedule.Grant;
import org.pimentovale.kernel.schedule.GrantListener;
import org.pimentovale.kernel.schedule.StageAttempt;
import org.pimentovale.store.EmbeddedPlatform;
import org.pimentovale.store.InMemoryObjectTable;
import org.pimentovale.table.Configuration;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Tables;
import org.pimentovale.table.Urgency;

class WarmupLeaseManagerTest {
    private static final String ADDRESS = "127.0.0.1:9000";
    private static final EndpointIncarnation ENDPOINT = new EndpointIncarnation(ADDRESS, "first");
    // At most 16 concurrent requests to a warm endpoint and 2 to a cold one; warm after 6 requests; progress timeout
    // 1 s; expected service time 100 ms.
    private static final Pool POOL = new Pool(
            "pool", "chat", "", 16, 2, 6, 0, 1_000, 100, false, List.of(), List.of(new Endpoint(ADDRESS, "zone-a")));

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryObjectTable objects = new InMemoryObjectTable();
    private final ServingTables tables = new ServingTables(
            () -> 1_000,
            number -> new SplittableRandom(number),
            new LeastInFlightPolicy(),
            new MemberTable(new Member("entry-0", "zone-a", "", "")),
            100);
    private final WarmupLeaseManager leases = new WarmupLeaseManager(
            vertx, new EmbeddedPlatform(vertx, objects), new StoreHealth(tables.clock()), tables);

    @BeforeEach
    void acquireLeaseOfColdEndpoint() {
        tables.configuration()
                .offer(Configuration.NONE.next("change", new Tables(List.of(), List.of(POOL)), List.of()));
        observeReport();
        submitAttempt();
        leases.check();
        assertThat(storedState()).isEqualTo(WarmupLease.State.HELD);
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private void observeReport() {
        tables.observe(ADDRESS, new LoadReport(ENDPOINT.incarnation(), 0, Optional.empty()), 1_000);
    }

    private void submitAttempt() {
        // The deadline is at 60 s; there are no later stages, no prompt prefix and no excluded endpoints.
        StageAttempt attempt = new StageAttempt("request", "one", Urgency.INTERACTIVE, 60_000, 0, 0, Set.of(), false);
        tables.scheduler(POOL.name()).orElseThrow().submit(attempt, new GrantListener() {
            @Override
            public void granted(Grant grant) {
                // The attempt remains in flight until the end of the test.
            }

            @Override
            public void refused(ErrorCode code, long retryAfterMs) {
                throw new AssertionError(code);
            }
        });
    }

    private WarmupLease.State storedState() {
        return WarmupLease.parse(objects.list("warmups").get(0).value()).state();
    }

    @Nested
    class LeaseHolder {
        @Test
        void keepsLeaseAndColdStateAcrossConnectionLoss() {
            tables.warmth().recordConnectionLoss(ADDRESS);
            leases.check();
            assertThat(storedState()).isEqualTo(WarmupLease.State.HELD);

            observeReport();
            leases.check();
            assertThat(tables.warmth().warmth(ADDRESS)).isEqualTo(Warmth.COLD);
        }

        @Test
        void publishesThatTheEndpointIsWarm() {
            tables.warmth().recordWarm(ENDPOINT);
            leases.check();
            assertThat(storedState()).isEqualTo(WarmupLease.State.WARM);
        }
    }
}
