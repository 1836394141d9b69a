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
import org.pimentovale.standin.EndpointProfile;
import org.pimentovale.standin.EndpointStandIn;

/** Every caller gets the complete response to its own request, or a failure that its client detects. */
class ResponseIntegrityTest {
    private static final int TOKENS = 20;

    private final Fleet fleet = new Fleet();
    private EndpointStandIn engine;
    private EndpointStandIn spare;
    private EndpointStandIn service;
    private Fleet.EntryInstance entry;

    @BeforeEach
    void start() {
        engine = fleet.startEndpoint(Fleet.engineProfile(20, TOKENS));
        spare = fleet.startEndpoint(Fleet.engineProfile(20, TOKENS));
        service = fleet.startEndpoint(new EndpointProfile(64, 64, 0, 10, 1, 1, 0));
        fleet.applyTables(Fleet.poolTable("engine", "chat", "progress_timeout_ms = 600", engine, "zone-a")
                + Fleet.poolTable("both", "chat", "progress_timeout_ms = 600", engine, "zone-a", spare, "zone-a")
                + Fleet.poolTable("service", "service", "progress_timeout_ms = 600", service, "zone-a")
                + Fleet.routeTable("chat", 8_000, "interactive", "generate", "engine")
                + Fleet.routeTable("safe", 8_000, "interactive", "generate", "both")
                + Fleet.routeTable("check", 8_000, "urgent", "check", "service"));
        entry = fleet.startEntry("entry-a", "zone-a");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void setFaults(EndpointStandIn endpoint, String faults) {
        fleet.sendCommand(endpoint.actualPort(), "/faults", faults);
    }

    private HttpRequest streamingRequest(String kind) {
        return fleet.request(entry, kind, "{\"prompt\":\"tree\"}")
                .header("Accept", "text/event-stream")
                .build();
    }

    private static int countWords(String text) {
        return text.split("word", -1).length - 1;
    }

    @Nested
    class WhenAStreamBreaks {
        @Test
        void aStreamTruncatedAfterItsStartFailsAtTheClient() {
            setFaults(engine, "{\"truncate_after\":5}");
            assertThrows(CompletionException.class, () -> fleet.send(streamingRequest("chat")));
        }

        @Test
        void aStalledStreamFailsAtTheClientAfterTheProgressTimeout() {
            setFaults(engine, "{\"silent_after\":5}");
            assertThrows(CompletionException.class, () -> fleet.send(streamingRequest("chat")));
        }

        @Test
        void aTruncatedResponseIsRetriedBeforeAnythingIsSentToTheCaller() {
            setFaults(engine, "{\"truncate_after\":5}");
            for (int position = 0; position < 4; position++) {
                HttpResponse<String> response = fleet.call(entry, "safe", "{\"prompt\":\"tree\"}");
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(countWords(new JsonObject(response.body())
                                .getJsonObject("result")
                                .getString("text")))
                        .isEqualTo(TOKENS);
            }
        }

        @Test
        void anEventOfAnotherRequestIsNeverForwarded() {
            setFaults(engine, "{\"cross_events\":true}");
            HttpResponse<String> response = fleet.send(streamingRequest("chat"));
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(response.body()).contains("answer-mismatched");
            assertThat(fleet.call(entry, "safe", "{\"prompt\":\"tree\"}").statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    class WhenAServiceRespondsToAnotherRequest {
        @Test
        void theResponseIsDiscardedAndTheCallRetried() {
            setFaults(service, "{\"crossed\":1}");
            assertThat(fleet.call(entry, "check", "{}").statusCode()).isEqualTo(200);
            assertThat(fleet.runs(service)).hasSize(2);
        }
    }

    @Nested
    class WhenConnectionsBecomeUnresponsive {
        @Test
        void idempotentRequestsAreRetriedOnANewConnectionAndTheEndpointIsNotSuspended() {
            List<CompletableFuture<HttpResponse<String>>> requests = new ArrayList<>();
            for (int position = 0; position < 8; position++) {
                requests.add(fleet.sendAsync(fleet.request(entry, "check", "{}").build()));
            }
            requests.forEach(CompletableFuture::join);
            setFaults(service, "{\"silence_open_connections\":true}");
            for (int position = 0; position < 4; position++) {
                assertThat(fleet.call(entry, "check", "{}").statusCode()).isEqualTo(200);
            }
            assertThat(fleet.operatorGet(entry, "/v1/endpoints")).doesNotContain("suspended");
        }
    }

    @Nested
    class WhenTheCallerDisconnects {
        @Test
        void theEngineCallIsCancelledWithin100Milliseconds() throws IOException {
            setFaults(engine, "{\"slow_factor\":1}");
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
            long disconnectedNanos = System.nanoTime();
            assertThat(fleet.eventually(2_000, () -> fleet.stats(engine).getInteger("cancelled") == 1))
                    .isTrue();
            long elapsedMs = (System.nanoTime() - disconnectedNanos) / 1_000_000;
            assertThat(elapsedMs).isLessThan(100L);
        }
    }

    @Nested
    class WhenQueuedCallersDisconnect {
        @Test
        void theirRequestsAreRemovedWithoutBeingSent() throws IOException {
            EndpointStandIn narrow = fleet.startEndpoint(new EndpointProfile(1, 1, 0, 700, 1, 1, 0));
            fleet.applyTables(
                    Fleet.poolTable("narrow", "service", "", narrow, "zone-a").replace("limit = 32", "limit = 1")
                            + Fleet.routeTable("narrow", 8_000, "interactive", "work", "narrow"));
            assertThat(fleet.eventually(
                            3_000, () -> fleet.call(entry, "narrow", "{}").statusCode() == 200))
                    .isTrue();
            List<Socket> callers = new ArrayList<>();
            for (int position = 0; position < 4; position++) {
                Socket caller = fleet.connect(entry);
                caller.getOutputStream()
                        .write("POST /v1/requests/narrow HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}"
                                .getBytes(StandardCharsets.UTF_8));
                callers.add(caller);
            }
            assertThat(fleet.eventually(3_000, () -> fleet.runningCount(entry) == 4))
                    .isTrue();
            for (Socket caller : callers) {
                caller.close();
            }
            assertThat(fleet.eventually(3_000, () -> fleet.runningCount(entry) == 0))
                    .isTrue();
            assertThat(fleet.stats(narrow).getLong("received")).isAtMost(2L);
        }
    }

    @Nested
    class WhenACallerReadsSlowly {
        @Test
        void othersAreServedAndTheResponseIsComplete() {
            CompletableFuture<HttpResponse<String>> slow = fleet.sendAsync(streamingRequest("chat"));
            assertThat(fleet.call(entry, "check", "{}").statusCode()).isEqualTo(200);
            assertThat(slow.join().body()).contains("event: done");
            assertThat(countWords(slow.join().body())).isEqualTo(3 * TOKENS);
        }
    }
}
