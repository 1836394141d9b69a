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

/**
 * A request that crashes its endpoint crashes at most two, however often and through whichever instance it is sent:
 * after the first loss it may run once more, alone on an endpoint, and after the second it is quarantined.
 */
class CrashingRequestTest {
    private final Fleet fleet = new Fleet();
    private final List<EndpointStandIn> endpoints = new ArrayList<>();
    private final List<Fleet.EntryInstance> instances = new ArrayList<>();

    @BeforeEach
    void start() {
        Object[] endpointsAndZones = new Object[8];
        for (int position = 0; position < 4; position++) {
            // A response takes 30 tokens of 10 ms each.
            EndpointStandIn endpoint = fleet.startEndpoint(Fleet.engineProfile(10, 30));
            endpoints.add(endpoint);
            endpointsAndZones[2 * position] = endpoint;
            endpointsAndZones[2 * position + 1] = "zone-a";
        }
        fleet.applyTables(Fleet.poolTable("engine", "chat", "", endpointsAndZones)
                + Fleet.routeTable("chat", 10_000, "interactive", "generate", "engine"));
        for (int position = 0; position < 3; position++) {
            instances.add(fleet.startEntry("entry-" + position, "zone-a"));
        }
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private int crashCount() {
        return endpoints.stream()
                .mapToInt(endpoint -> fleet.stats(endpoint).getInteger("crashes"))
                .sum();
    }

    @Nested
    class WhenItsCallerKeepsRetrying {
        @Test
        void atMostTwoEndpointsCrashAndConcurrentRequestsSucceed() {
            List<CompletableFuture<HttpResponse<String>>> otherRequests = new ArrayList<>();
            for (int position = 0; position < 30; position++) {
                String body = "{\"prompt\":\"innocent " + position + "\"}";
                otherRequests.add(fleet.sendAsync(
                        fleet.request(instances.get(position % 3), "chat", body).build()));
            }
            assertThat(fleet.eventually(3_000, () -> endpoints.stream()
                            .allMatch(endpoint -> fleet.stats(endpoint).getInteger("in_flight") > 0)))
                    .isTrue();
            // The stand-in crashes on any request that contains this marker.
            for (int position = 0; position < 9; position++) {
                HttpResponse<String> response =
                        fleet.call(instances.get(position % 3), "chat", "{\"prompt\":\"crash-marker\"}");
                assertThat(response.statusCode()).isNotEqualTo(200);
            }
            assertThat(crashCount()).isAtMost(2);
            otherRequests.forEach(request -> assertWithMessage(request.join().body())
                    .that(request.join().statusCode())
                    .isEqualTo(200));
        }
    }
}
