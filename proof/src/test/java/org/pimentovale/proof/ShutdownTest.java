package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** A graceful shutdown interrupts no request, and the other instances remove an instance that was killed. */
class ShutdownTest {
    private final Fleet fleet = new Fleet();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class OnTerminationSignal {
        @Test
        void runningRequestsCompleteAndRequestsWithinTheBalancerLagAreServed() {
            EndpointStandIn engine = fleet.startEndpoint(Fleet.engineProfile(40, 40));
            EndpointStandIn service = fleet.startEndpoint(Fleet.serviceProfile(10));
            fleet.applyTables(Fleet.poolTable("engine", "chat", "", engine, "zone-a")
                    + Fleet.poolTable("booking", "service", "", service, "zone-a")
                    + Fleet.routeTable("chat", 10_000, "interactive", "generate", "engine")
                    + Fleet.routeTable("booking", 4_000, "urgent", "!book", "booking"));
            Fleet.EntryInstance draining = fleet.startEntry("entry-a", "zone-a");
            List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
            for (int position = 0; position < 10; position++) {
                running.add(fleet.sendAsync(fleet.request(draining, "chat", "{\"prompt\":\"tree\"}")
                        .header("Accept", "text/event-stream")
                        .build()));
            }
            assertThat(fleet.eventually(3_000, () -> fleet.stats(engine).getInteger("in_flight") == 10))
                    .isTrue();
            draining.process().terminate();
            draining.process().awaitLine("event=drain_started");
            HttpResponse<String> withinLag = fleet.book(draining, "within-lag");
            assertThat(withinLag.statusCode()).isEqualTo(200);
            running.forEach(request -> assertThat(request.join().body()).contains("event: done"));
            assertThat(draining.process().awaitExit()).isEqualTo(143);
        }
    }

    @Nested
    class WhenAnInstanceIsKilled {
        @Test
        void theOthersRemoveItWithinFiveSeconds() {
            fleet.applyTables(
                    Fleet.poolTable("booking", "service", "", fleet.startEndpoint(Fleet.serviceProfile(5)), "zone-a")
                            + Fleet.routeTable("check", 4_000, "urgent", "check", "booking"));
            Fleet.EntryInstance killed = fleet.startEntry("entry-a", "zone-a");
            Fleet.EntryInstance first = fleet.startEntry("entry-b", "zone-a");
            Fleet.EntryInstance second = fleet.startEntry("entry-c", "zone-a");
            assertThat(fleet.eventually(5_000, () -> liveCount(first) == 3 && liveCount(second) == 3))
                    .isTrue();
            killed.process().kill();
            assertThat(fleet.eventually(5_000, () -> liveCount(first) == 2 && liveCount(second) == 2))
                    .isTrue();
        }

        private int liveCount(Fleet.EntryInstance entry) {
            return new JsonObject(fleet.operatorGet(entry, "/v1/instance"))
                    .getJsonArray("live")
                    .size();
        }
    }
}
