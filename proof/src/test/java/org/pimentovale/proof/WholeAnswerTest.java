package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointModel;
import org.pimentovale.standin.EndpointStandIn;

/** Every caller gets the whole answer to its own request, or a failure that its client sees. */
class WholeAnswerTest {
    private static final int TOKENS = 20;

    private final Fleet fleet = new Fleet();
    private EndpointStandIn engine;
    private EndpointStandIn spare;
    private EndpointStandIn service;
    private Fleet.Entry entry;

    @BeforeEach
    void start() {
        engine = fleet.endpoint(Fleet.engine(20, TOKENS));
        spare = fleet.endpoint(Fleet.engine(20, TOKENS));
        service = fleet.endpoint(new EndpointModel(64, 64, 0, 10, 1, 1, 0));
        fleet.apply(Fleet.pool("engine", "chat", "progress_timeout_ms = 600", engine, "zone-a")
                + Fleet.pool("both", "chat", "progress_timeout_ms = 600", engine, "zone-a", spare, "zone-a")
                + Fleet.pool("service", "service", "progress_timeout_ms = 600", service, "zone-a")
                + Fleet.route("chat", 8_000, "interactive", "generate", "engine")
                + Fleet.route("safe", 8_000, "interactive", "generate", "both")
                + Fleet.route("check", 8_000, "urgent", "check", "service"));
        entry = fleet.entry("entry-a", "zone-a");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void faults(EndpointStandIn endpoint, String faults) {
        fleet.command(endpoint.actualPort(), "/faults", faults);
    }

    private HttpRequest streamed(String kind) {
        return fleet.request(entry, kind, "{\"prompt\":\"tree\"}")
                .header("Accept", "text/event-stream")
                .build();
    }

    private static int words(String text) {
        return text.split("word", -1).length - 1;
    }

    @Nested
    class WhenAStreamBreaks {
        @Test
        void aTruncatedStreamFailsVisiblyAfterItsBeginning() {
            faults(engine, "{\"truncate_after\":5}");
            assertThrows(CompletionException.class, () -> fleet.send(streamed("chat")));
        }

        @Test
        void aSilentStreamFailsVisiblyWithinTheProgressTimeout() {
            faults(engine, "{\"silent_after\":5}");
            assertThrows(CompletionException.class, () -> fleet.send(streamed("chat")));
        }

        @Test
        void aTruncatedAnswerThatNobodySawIsRepeatedWhole() {
            faults(engine, "{\"truncate_after\":5}");
            for (int position = 0; position < 4; position++) {
                HttpResponse<String> answer = fleet.ask(entry, "safe", "{\"prompt\":\"tree\"}");
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(words(new JsonObject(answer.body())
                                .getJsonObject("result")
                                .getString("text")))
                        .isEqualTo(TOKENS);
            }
        }

        @Test
        void anEventOfAnotherRequestIsNeverPassedOn() {
            faults(engine, "{\"cross_events\":true}");
            HttpResponse<String> answer = fleet.send(streamed("chat"));
            assertThat(answer.statusCode()).isEqualTo(502);
            assertThat(answer.body()).contains("answer-mismatched");
            assertThat(fleet.ask(entry, "safe", "{\"prompt\":\"tree\"}").statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    class WhenAServiceAnswersForAnother {
        @Test
        void theAnswerIsDroppedAndTheCallRepeated() {
            faults(service, "{\"crossed\":1}");
            assertThat(fleet.ask(entry, "check", "{}").statusCode()).isEqualTo(200);
            assertThat(fleet.runs(service)).hasSize(2);
        }
    }

    @Nested
    class WhenConnectionsGoSilent {
        @Test
        void idempotentRequestsAreSavedOnAFreshConnectionAndTheEndpointIsNotBlamed() {
            List<CompletableFuture<HttpResponse<String>>> requests = new ArrayList<>();
            for (int position = 0; position < 8; position++) {
                requests.add(fleet.sendLater(fleet.request(entry, "check", "{}").build()));
            }
            requests.forEach(CompletableFuture::join);
            faults(service, "{\"silence_open_connections\":true}");
            for (int position = 0; position < 4; position++) {
                assertThat(fleet.ask(entry, "check", "{}").statusCode()).isEqualTo(200);
            }
            assertThat(fleet.operatorGet(entry, "/v1/endpoints")).doesNotContain("suspended");
        }
    }

    @Nested
    class WhenTheCallerLeaves {
        @Test
        void theEngineIsCancelledWithinATenthOfASecond() throws IOException {
            faults(engine, "{\"slow_factor\":1}");
            try (Socket caller = fleet.connect(entry)) {
                OutputStream output = caller.getOutputStream();
                String body = "{\"prompt\":\"tree\"}";
                output.write(("POST /v1/requests/chat HTTP/1.1\r\nHost: entry\r\nAccept: text/event-stream\r\n"
                                + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.UTF_8));
                output.flush();
                InputStream input = caller.getInputStream();
                assertThat(input.read()).isEqualTo('H');
            }
            long leftNanos = System.nanoTime();
            assertThat(fleet.eventually(2_000, () -> fleet.stats(engine).getInteger("cancelled") == 1))
                    .isTrue();
            long tookMs = (System.nanoTime() - leftNanos) / 1_000_000;
            assertThat(tookMs).isLessThan(100L);
        }
    }

    @Nested
    class WhenCallersLeaveWhileTheyWait {
        @Test
        void nothingIsSentForThemAndTheInstanceForgetsThem() throws IOException {
            EndpointStandIn narrow = fleet.endpoint(new EndpointModel(1, 1, 0, 700, 1, 1, 0));
            fleet.apply(Fleet.pool("narrow", "service", "", narrow, "zone-a").replace("limit = 32", "limit = 1")
                    + Fleet.route("narrow", 8_000, "interactive", "work", "narrow"));
            assertThat(fleet.eventually(
                            3_000, () -> fleet.ask(entry, "narrow", "{}").statusCode() == 200))
                    .isTrue();
            List<Socket> callers = new ArrayList<>();
            for (int position = 0; position < 4; position++) {
                Socket caller = fleet.connect(entry);
                caller.getOutputStream()
                        .write("POST /v1/requests/narrow HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}"
                                .getBytes(StandardCharsets.UTF_8));
                callers.add(caller);
            }
            assertThat(fleet.eventually(3_000, () -> fleet.running(entry) == 4)).isTrue();
            for (Socket caller : callers) {
                caller.close();
            }
            assertThat(fleet.eventually(3_000, () -> fleet.running(entry) == 0)).isTrue();
            assertThat(fleet.stats(narrow).getLong("received")).isAtMost(2L);
        }
    }

    @Nested
    class WhenACallerReadsSlowly {
        @Test
        void othersAreServedAndTheAnswerIsWhole() {
            CompletableFuture<HttpResponse<String>> slow = fleet.sendLater(streamed("chat"));
            assertThat(fleet.ask(entry, "check", "{}").statusCode()).isEqualTo(200);
            assertThat(slow.join().body()).contains("event: done");
            assertThat(words(slow.join().body())).isEqualTo(3 * TOKENS);
        }
    }
}
