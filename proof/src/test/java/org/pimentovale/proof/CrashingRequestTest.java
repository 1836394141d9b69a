package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** A request that crashes endpoints takes at most two of them, sent again and again through any instance. */
class CrashingRequestTest {
    private final Fleet fleet = new Fleet();
    private final List<EndpointStandIn> engines = new ArrayList<>();
    private final List<Fleet.Entry> entries = new ArrayList<>();

    @BeforeEach
    void start() {
        Object[] endpoints = new Object[8];
        for (int position = 0; position < 4; position++) {
            EndpointStandIn engine = fleet.endpoint(Fleet.engine(10, 30));
            engines.add(engine);
            endpoints[2 * position] = engine;
            endpoints[2 * position + 1] = "zone-a";
        }
        fleet.apply(Fleet.pool("engine", "chat", "", endpoints)
                + Fleet.route("chat", 10_000, "interactive", "generate", "engine"));
        for (int position = 0; position < 3; position++) {
            entries.add(fleet.entry("entry-" + position, "zone-a"));
        }
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private int crashes() {
        return engines.stream()
                .mapToInt(engine -> fleet.stats(engine).getInteger("crashes"))
                .sum();
    }

    @Nested
    class WhenItsCallerKeepsTrying {
        @Test
        void twoEndpointsAreLostAtMostAndInnocentRequestsOfTheSameBatchAreAnswered() {
            List<CompletableFuture<HttpResponse<String>>> innocent = new ArrayList<>();
            for (int position = 0; position < 30; position++) {
                String body = "{\"prompt\":\"innocent " + position + "\"}";
                innocent.add(fleet.sendLater(
                        fleet.request(entries.get(position % 3), "chat", body).build()));
            }
            assertThat(fleet.eventually(3_000, () -> engines.stream()
                            .allMatch(engine -> fleet.stats(engine).getInteger("in_flight") > 0)))
                    .isTrue();
            for (int position = 0; position < 9; position++) {
                HttpResponse<String> answer =
                        fleet.ask(entries.get(position % 3), "chat", "{\"prompt\":\"crash-marker\"}");
                assertThat(answer.statusCode()).isNotEqualTo(200);
            }
            assertThat(crashes()).isAtMost(2);
            innocent.forEach(request -> assertWithMessage(request.join().body())
                    .that(request.join().statusCode())
                    .isEqualTo(200));
        }
    }
}
