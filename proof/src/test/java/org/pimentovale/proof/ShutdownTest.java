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

/** A graceful shutdown cuts no request, and what an instance did for others goes on without it. */
class ShutdownTest {
    private final Fleet fleet = new Fleet();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class OnTermination {
        @Test
        void runningRequestsEndAndLaterOnesAreRefusedTruly() {
            EndpointStandIn engine = fleet.endpoint(Fleet.engine(40, 40));
            EndpointStandIn service = fleet.endpoint(Fleet.service(10));
            fleet.apply(Fleet.pool("engine", "chat", "", engine, "zone-a")
                    + Fleet.pool("booking", "service", "", service, "zone-a")
                    + Fleet.route("chat", 10_000, "interactive", "generate", "engine")
                    + Fleet.route("booking", 4_000, "urgent", "!book", "booking"));
            Fleet.Entry leaving = fleet.entry("entry-a", "zone-a");
            List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
            for (int position = 0; position < 10; position++) {
                running.add(fleet.sendLater(fleet.request(leaving, "chat", "{\"prompt\":\"tree\"}")
                        .header("Accept", "text/event-stream")
                        .build()));
            }
            assertThat(fleet.eventually(3_000, () -> fleet.stats(engine).getInteger("in_flight") == 10))
                    .isTrue();
            leaving.process().terminate();
            leaving.process().awaitLine("event=drain_started");
            HttpResponse<String> withinLag = fleet.book(leaving, "within-lag");
            assertThat(withinLag.statusCode()).isEqualTo(200);
            running.forEach(request -> assertThat(request.join().body()).contains("event: done"));
            assertThat(leaving.process().awaitExit()).isEqualTo(143);
        }
    }

    @Nested
    class WhenAnInstanceIsKilled {
        @Test
        void theOthersForgetItWithinSeconds() {
            fleet.apply(Fleet.pool("booking", "service", "", fleet.endpoint(Fleet.service(5)), "zone-a")
                    + Fleet.route("check", 4_000, "urgent", "check", "booking"));
            Fleet.Entry killed = fleet.entry("entry-a", "zone-a");
            Fleet.Entry first = fleet.entry("entry-b", "zone-a");
            Fleet.Entry second = fleet.entry("entry-c", "zone-a");
            assertThat(fleet.eventually(5_000, () -> live(first) == 3 && live(second) == 3))
                    .isTrue();
            killed.process().kill();
            assertThat(fleet.eventually(5_000, () -> live(first) == 2 && live(second) == 2))
                    .isTrue();
        }

        private int live(Fleet.Entry entry) {
            return new JsonObject(fleet.operatorGet(entry, "/v1/instance"))
                    .getJsonArray("live")
                    .size();
        }
    }
}
