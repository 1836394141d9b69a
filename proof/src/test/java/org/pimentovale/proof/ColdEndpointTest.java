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
import org.pimentovale.standin.EndpointProfile;
import org.pimentovale.standin.EndpointStandIn;

/** All entry instances together send no more concurrent requests to a cold endpoint than its cold limit. */
class ColdEndpointTest {
    private static final int COLD_REQUESTS = 6;

    private final Fleet fleet = new Fleet();
    private final List<EndpointStandIn> engines = new ArrayList<>();
    private final List<Fleet.EntryInstance> entries = new ArrayList<>();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void start(int engineCount, int entryCount) {
        Object[] endpoints = new Object[2 * engineCount];
        for (int position = 0; position < engineCount; position++) {
            EndpointStandIn engine = fleet.startEndpoint(new EndpointProfile(16, 2, COLD_REQUESTS, 10, 2, 10, 0));
            engines.add(engine);
            endpoints[2 * position] = engine;
            endpoints[2 * position + 1] = "zone-a";
        }
        fleet.applyTables(
                Fleet.poolTable("engine", "chat", "cold_limit = 2\nwarm_after_requests = " + COLD_REQUESTS, endpoints)
                                .replace("limit = 32", "limit = 16")
                        + Fleet.routeTable("chat", 15_000, "interactive", "generate", "engine"));
        for (int position = 0; position < entryCount; position++) {
            entries.add(fleet.startEntry("entry-" + position, "zone-a"));
        }
    }

    private List<CompletableFuture<HttpResponse<String>>> sendRequests(int count) {
        return sendRequests("request", count);
    }

    private List<CompletableFuture<HttpResponse<String>>> sendRequests(String prompt, int count) {
        List<CompletableFuture<HttpResponse<String>>> requests = new ArrayList<>();
        for (int position = 0; position < count; position++) {
            Fleet.EntryInstance entry = entries.get(position % entries.size());
            String body = "{\"prompt\":\"" + prompt + " " + position + "\"}";
            requests.add(fleet.sendAsync(fleet.request(entry, "chat", body).build()));
        }
        return requests;
    }

    private long countSucceeded(List<CompletableFuture<HttpResponse<String>>> requests) {
        return requests.stream()
                .filter(request -> request.join().statusCode() == 200)
                .count();
    }

    private int coldOverloadCount() {
        return engines.stream()
                .mapToInt(engine -> fleet.stats(engine).getInteger("collapses"))
                .sum();
    }

    private void assertColdLimitRespected() {
        assertThat(coldOverloadCount()).isEqualTo(0);
        for (EndpointStandIn engine : engines) {
            assertThat(fleet.stats(engine).getInteger("largest_cold_in_flight")).isAtMost(2);
        }
    }

    @Nested
    class AtTheFirstStart {
        @Test
        void everythingIsColdAndEveryRequestIsAnswered() {
            start(2, 3);
            assertThat(countSucceeded(sendRequests(120))).isEqualTo(120);
            assertColdLimitRespected();
        }
    }

    @Nested
    class WhenEndpointsCheckFencingTokens {
        @Test
        void coldCallsCarryTheFencingTokenOfTheLease() {
            start(1, 2);
            EndpointStandIn engine = engines.get(0);
            fleet.applyTables(Fleet.poolTable(
                                    "engine",
                                    "chat",
                                    "cold_limit = 2\nchecks_fencing = true\nwarm_after_requests = " + COLD_REQUESTS,
                                    engine,
                                    "zone-a")
                            .replace("limit = 32", "limit = 16")
                    + Fleet.routeTable("chat", 15_000, "interactive", "generate", "engine"));
            fleet.sendCommand(engine.actualPort(), "/faults", "{\"checks_fencing\":true}");
            assertThat(countSucceeded(sendRequests(40))).isEqualTo(40);
            assertThat(fleet.stats(engine).getLong("highest_token")).isGreaterThan(0L);
            assertColdLimitRespected();
        }
    }

    @Nested
    class WhenAnEndpointRestartsWithoutNotice {
        @Test
        void theColdLimitIsRespected() {
            start(2, 3);
            assertThat(countSucceeded(sendRequests(90))).isEqualTo(90);
            for (int round = 0; round < 3; round++) {
                List<CompletableFuture<HttpResponse<String>>> before = sendRequests(60);
                fleet.sendCommand(engines.get(round % 2).actualPort(), "/faults", "{\"restart\":true}");
                List<CompletableFuture<HttpResponse<String>>> after = sendRequests(120);
                assertThat(countSucceeded(before) + countSucceeded(after)).isAtLeast(160L);
                assertColdLimitRespected();
            }
        }
    }

    @Nested
    class WhenEveryEntryInstanceRestarts {
        @Test
        void allRequestsSucceedWithinTheColdLimit() {
            start(2, 3);
            assertThat(countSucceeded(sendRequests(90))).isEqualTo(90);
            entries.forEach(entry -> entry.process().kill());
            entries.clear();
            fleet.sendCommand(engines.get(1).actualPort(), "/faults", "{\"restart\":true}");
            for (int position = 0; position < 3; position++) {
                entries.add(fleet.startEntry("again-" + position, "zone-a"));
            }
            assertThat(countSucceeded(sendRequests(150))).isEqualTo(150);
            assertColdLimitRespected();
        }
    }

    @Nested
    class WhenTheLeaseHolderIsSuspended {
        @Test
        void anotherTakesOverAndTheColdLimitHoldsAfterTheOldHolderResumes() {
            start(1, 2);
            EndpointStandIn engine = engines.get(0);
            fleet.sendCommand(engine.actualPort(), "/faults", "{\"slow_factor\":40}");
            List<CompletableFuture<HttpResponse<String>>> requests = sendRequests(8);
            Fleet.EntryInstance holder = holder();
            Fleet.EntryInstance other = entries.get(0).equals(holder) ? entries.get(1) : entries.get(0);
            holder.process().suspend();
            other.process().awaitLine("event=warmup_lease_taken");
            holder.process().resume();
            assertThat(countSucceeded(requests)).isEqualTo(8);
            assertColdLimitRespected();
        }

        private Fleet.EntryInstance holder() {
            Fleet.EntryInstance[] found = new Fleet.EntryInstance[1];
            assertThat(fleet.eventually(5_000, () -> {
                        entries.stream()
                                .filter(entry -> entry.process().output().stream()
                                        .anyMatch(line -> line.contains("event=warmup_lease_taken")))
                                .findFirst()
                                .ifPresent(entry -> found[0] = entry);
                        return found[0] != null;
                    }))
                    .isTrue();
            return found[0];
        }
    }

    @Nested
    class DuringAStoreOutage {
        @Test
        void warmEndpointsServeAndTheColdLimitIsRespected() {
            start(2, 3);
            assertThat(countSucceeded(sendRequests(90))).isEqualTo(90);
            fleet.setStoreFaults(new JsonObject().put("outage", true));
            fleet.sendCommand(engines.get(1).actualPort(), "/faults", "{\"restart\":true}");
            assertThat(countSucceeded(sendRequests(90))).isAtLeast(85L);
            // A request that was running when the endpoint was lost may not be retried before the store permits it.
            // Therefore these requests use new prompts.
            assertThat(countSucceeded(sendRequests("new request", 60))).isEqualTo(60);
            assertColdLimitRespected();
        }
    }
}
