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

/** Bad input gets a typed error, and {@code not-run} is said only where the endpoint's record has nothing. */
class BadInputTest {
    private final Fleet fleet = new Fleet();
    private EndpointStandIn service;
    private Fleet.Entry entry;

    @BeforeEach
    void start() {
        service = fleet.endpoint(Fleet.service(5));
        fleet.apply(Fleet.pool("booking", "service", "refusal_statuses = [429]", service, "zone-a")
                + Fleet.route("booking", 2_000, "urgent", "!book", "booking")
                + Fleet.route("check", 2_000, "urgent", "check", "booking"));
        entry = fleet.entry("entry-a", "zone-a");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void assertRefused(HttpRequest request, int status, String code) {
        HttpResponse<String> answer = fleet.send(request);
        JsonObject problem = new JsonObject(answer.body());
        assertWithMessage(answer.body()).that(answer.statusCode()).isEqualTo(status);
        assertThat(problem.getString("code")).isEqualTo(code);
        assertThat(problem.getString("outcome")).isEqualTo("not-run");
        assertThat(problem.getString("title")).isNotEmpty();
        assertThat(answer.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        assertThat(fleet.runs(service)).isEmpty();
        assertThat(fleet.operatorGet(entry, "/metrics"))
                .contains("pimentovale_refusals_total{code=\"" + code + "\",outcome=\"not-run\"}");
    }

    @Nested
    class OfCallers {
        @Test
        void isRefusedWithCodeStatusAndOutcome() {
            assertRefused(fleet.request(entry, "check", "{broken").build(), 400, "malformed-body");
            assertRefused(fleet.request(entry, "check", "[1]").build(), 400, "malformed-body");
            assertRefused(fleet.request(entry, "chekc", "{}").build(), 404, "kind-unknown");
            assertRefused(fleet.request(entry, "booking", "{}").build(), 400, "key-missing");
            assertRefused(
                    fleet.request(entry, "booking", "{}")
                            .header("Idempotency-Key", "a b")
                            .build(),
                    400,
                    "malformed-header");
            assertRefused(
                    fleet.request(entry, "check", "{}")
                            .header("Request-Timeout-Ms", "soon")
                            .build(),
                    400,
                    "malformed-header");
            assertRefused(
                    fleet.request(entry, "check", "{\"x\":\"" + "x".repeat(1 << 20) + "\"}")
                            .build(),
                    413,
                    "body-too-large");
            assertRefused(
                    fleet.request(entry, "check", "{}")
                            .header("Request-Timeout-Ms", "1")
                            .build(),
                    503,
                    "deadline-unreachable");
        }

        @Test
        void aKeyOlderThanTheRetentionIsUnknownAndDoesNotRun() {
            String old = new UUID(1_000_000L << 16 | 0x7abc, 0x8000000000000001L).toString();
            HttpResponse<String> answer = fleet.book(entry, old);
            assertThat(new JsonObject(answer.body()).getString("code")).isEqualTo("key-expired");
            assertThat(new JsonObject(answer.body()).getString("outcome")).isEqualTo("unknown");
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
    class OfEndpoints {
        @Test
        void aDeclaredRefusalIsRepeatedAlsoForABooking() {
            fleet.command(service.actualPort(), "/faults", "{\"refusals\":2,\"status\":429}");
            assertThat(fleet.book(entry, "refused-twice").statusCode()).isEqualTo(200);
            assertThat(fleet.runs(service)).hasSize(1);
        }

        @Test
        void aFailingServiceDoesNotMultiplyLoad() {
            fleet.command(service.actualPort(), "/faults", "{\"failures\":100000}");
            int requests = 400;
            fleet.apply(Fleet.pool("wide", "service", "", service, "zone-a").replace("limit = 32", "limit = 400")
                    + Fleet.route("wide", 2_000, "urgent", "check", "wide"));
            List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
            for (int position = 0; position < requests; position++) {
                String body = "{\"position\":" + position + "}";
                sent.add(fleet.sendLater(fleet.request(entry, "wide", body).build()));
            }
            sent.forEach(CompletableFuture::join);
            // One retry for ten first attempts, and a burst of ten.
            assertThat(fleet.runs(service).size()).isAtMost(requests + requests / 10 + 10);
        }

        @Test
        void aServiceThatIsGoneLeavesABookingNotRun() {
            fleet.book(entry, "opens-a-connection");
            fleet.closeEndpoint(service);
            HttpResponse<String> answer = fleet.book(entry, "nobody-there");
            assertWithMessage(answer.body())
                    .that(new JsonObject(answer.body()).getString("outcome"))
                    .isEqualTo("not-run");
        }
    }
}
