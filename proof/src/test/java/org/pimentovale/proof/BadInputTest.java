package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** Bad input gets a typed error, and {@code not-run} is reported only if the endpoint has no record of a run. */
class BadInputTest {
    private final Fleet fleet = new Fleet();
    private EndpointStandIn service;
    private Fleet.EntryInstance entry;

    @BeforeEach
    void start() {
        service = fleet.startEndpoint(Fleet.serviceProfile(5));
        fleet.applyTables(Fleet.poolTable("booking", "service", "refusal_statuses = [429]", service, "zone-a")
                + Fleet.routeTable("booking", 2_000, "urgent", "!book", "booking")
                + Fleet.routeTable("check", 2_000, "urgent", "check", "booking"));
        entry = fleet.startEntry("entry-a", "zone-a");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void assertRejected(HttpRequest request, int status, String code) {
        HttpResponse<String> response = fleet.send(request);
        JsonObject problem = new JsonObject(response.body());
        assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(status);
        assertThat(problem.getString("code")).isEqualTo(code);
        assertThat(problem.getString("outcome")).isEqualTo("not-run");
        assertThat(problem.getString("title")).isNotEmpty();
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        assertThat(fleet.runs(service)).isEmpty();
        assertThat(fleet.operatorGet(entry, "/metrics"))
                .contains("pimentovale_refusals_total{code=\"" + code + "\",outcome=\"not-run\"}");
    }

    @Nested
    class FromCallers {
        @Test
        void isRejectedWithCodeStatusAndOutcome() {
            assertRejected(fleet.request(entry, "check", "{broken").build(), 400, "malformed-body");
            assertRejected(fleet.request(entry, "check", "[1]").build(), 400, "malformed-body");
            assertRejected(fleet.request(entry, "chekc", "{}").build(), 404, "kind-unknown");
            assertRejected(fleet.request(entry, "booking", "{}").build(), 400, "key-missing");
            assertRejected(
                    fleet.request(entry, "booking", "{}")
                            .header("Idempotency-Key", "a b")
                            .build(),
                    400,
                    "malformed-header");
            assertRejected(
                    fleet.request(entry, "check", "{}")
                            .header("Request-Timeout-Ms", "soon")
                            .build(),
                    400,
                    "malformed-header");
            assertRejected(
                    fleet.request(entry, "check", "{\"x\":\"" + "x".repeat(1 << 20) + "\"}")
                            .build(),
                    413,
                    "body-too-large");
            assertRejected(
                    fleet.request(entry, "check", "{}")
                            .header("Request-Timeout-Ms", "1")
                            .build(),
                    503,
                    "deadline-unreachable");
        }

        @Test
        void aKeyOlderThanTheRetentionIsUnknownAndDoesNotRun() {
            String old = new UUID(1_000_000L << 16 | 0x7abc, 0x8000000000000001L).toString();
            HttpResponse<String> response = fleet.book(entry, old);
            assertThat(new JsonObject(response.body()).getString("code")).isEqualTo("key-expired");
            assertThat(new JsonObject(response.body()).getString("outcome")).isEqualTo("unknown");
            assertThat(fleet.runs(service)).isEmpty();
        }

        @Test
        void aKeyUsedForAnotherBodyDoesNotRun() {
            assertThat(fleet.book(entry, "key-1").statusCode()).isEqualTo(200);
            HttpResponse<String> other = fleet.send(fleet.request(entry, "booking", "{\"other\":1}")
                    .header("Idempotency-Key", "key-1")
                    .build());
            assertThat(other.statusCode()).isEqualTo(422);
            assertThat(new JsonObject(other.body()).getString("outcome")).isEqualTo("not-run");
            assertThat(fleet.runs(service)).hasSize(1);
        }
    }

    @Nested
    class FromEndpoints {
        @Test
        void aConfiguredRefusalStatusIsRetriedEvenForABooking() {
            fleet.sendCommand(service.actualPort(), "/faults", "{\"refusals\":2,\"status\":429}");
            assertThat(fleet.book(entry, "refused-twice").statusCode()).isEqualTo(200);
            assertThat(fleet.runs(service)).hasSize(1);
        }

        @Test
        void aFailingServiceDoesNotMultiplyLoad() {
            fleet.sendCommand(service.actualPort(), "/faults", "{\"failures\":100000}");
            int requestCount = 400;
            fleet.applyTables(
                    Fleet.poolTable("wide", "service", "", service, "zone-a").replace("limit = 32", "limit = 400")
                            + Fleet.routeTable("wide", 2_000, "urgent", "check", "wide"));
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int position = 0; position < requestCount; position++) {
                String body = "{\"position\":" + position + "}";
                sent.add(fleet.sendAsync(fleet.request(entry, "wide", body).build()));
            }
            sent.forEach(CompletableFuture::join);
            // The retry budget allows one retry for every ten first attempts and a burst of ten.
            assertThat(fleet.runs(service).size()).isAtMost(requestCount + requestCount / 10 + 10);
        }

        @Test
        void aBookingToAStoppedServiceIsReportedAsNotRun() {
            fleet.book(entry, "opens-a-connection");
            fleet.closeEndpoint(service);
            HttpResponse<String> response = fleet.book(entry, "nobody-there");
            assertWithMessage(response.body())
                    .that(new JsonObject(response.body()).getString("outcome"))
                    .isEqualTo("not-run");
        }
    }
}
