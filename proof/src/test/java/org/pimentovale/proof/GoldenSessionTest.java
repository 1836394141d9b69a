package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/**
 * Compares transcripts of whole sessions with reviewed golden files, in which placeholders stand for ports and
 * identifiers. To regenerate the files, run with {@code -Dgolden.write=DIRECTORY} and review the differences.
 */
class GoldenSessionTest {
    private final Fleet fleet = new Fleet();
    private final StringBuilder transcript = new StringBuilder();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private HttpResponse<String> exchange(String title, HttpRequest.Builder builder) {
        HttpRequest request = builder.build();
        transcript.append("== ").append(title).append('\n');
        transcript
                .append("> ")
                .append(request.method())
                .append(' ')
                .append(request.uri().getPath())
                .append('\n');
        for (String name : new String[] {"Accept", "Idempotency-Key", "Pimentovale-Workspace"}) {
            request.headers().firstValue(name).ifPresent(value -> transcript
                    .append("> ")
                    .append(name)
                    .append(": ")
                    .append(value)
                    .append('\n'));
        }
        HttpResponse<String> response = fleet.send(request);
        transcript.append("< ").append(response.statusCode()).append('\n');
        for (String name : new String[] {"Content-Type", "Retry-After"}) {
            Optional<String> value = response.headers().firstValue(name);
            value.ifPresent(text -> transcript
                    .append("< ")
                    .append(name)
                    .append(": ")
                    .append(text)
                    .append('\n'));
        }
        transcript.append(response.body().strip()).append("\n\n");
        return response;
    }

    private void assertGolden(String name) {
        String actual = transcript
                .toString()
                .replaceAll("[0-9a-f]{16}", "IDENTIFIER")
                .replaceAll("(served_by\":|ref-)\\d+", "$1PORT")
                .replaceAll("attempt \\S+ by [^\"]+", "attempt ATTEMPT by INSTANCE");
        String directory = System.getProperty("golden.write");
        try {
            if (directory != null) {
                Files.writeString(Path.of(directory, name), actual);
                return;
            }
            try (InputStream file = GoldenSessionTest.class.getResourceAsStream("/golden/" + name)) {
                String golden = new String(file.readAllBytes(), StandardCharsets.UTF_8);
                assertWithMessage(name).that(actual).isEqualTo(golden);
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Nested
    class WithSuccessfulRequests {
        @Test
        void critiqueReservationResendAndAvailability() {
            EndpointStandIn service = fleet.startEndpoint(Fleet.serviceProfile(5));
            EndpointStandIn engine = fleet.startEndpoint(Fleet.engineProfile(2, 3));
            fleet.applyTables(Fleet.poolTable("services", "service", "", service, "it-north-a")
                    + Fleet.poolTable("bench-guide", "chat", "", engine, "it-north-a")
                    + Fleet.routeTable(
                            "critique",
                            9_000,
                            "patient",
                            "encode",
                            "services",
                            "retrieve",
                            "services",
                            "rerank",
                            "services",
                            "generate",
                            "bench-guide")
                    + Fleet.routeTable("booking", 5_000, "urgent", "!reserve", "services")
                    + Fleet.routeTable("availability", 2_000, "urgent", "check", "services"));
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "it-north-a");
            Fleet.EntryInstance second = fleet.startEntry("entry-b", "it-north-b");

            exchange(
                    "a judge's critique, streamed",
                    fleet.request(first, "critique", "{\"prompt\":\"juniper\"}")
                            .header("Accept", "text/event-stream")
                            .header("Pimentovale-Workspace", "judges"));
            exchange("the same, whole", fleet.request(second, "critique", "{\"prompt\":\"juniper\"}"));
            exchange(
                    "a reservation",
                    fleet.request(first, "booking", "{\"bench\":7}").header("Idempotency-Key", "bench-7"));
            exchange(
                    "sent again through the other instance",
                    fleet.request(second, "booking", "{\"bench\":7}").header("Idempotency-Key", "bench-7"));
            exchange("availability", fleet.request(second, "availability", "{}"));
            assertGolden("show.txt");
        }
    }

    @Nested
    class WithFailures {
        @Test
        void failedBookingOutageAndRejections() {
            EndpointStandIn service = fleet.startEndpoint(Fleet.serviceProfile(5));
            fleet.applyTables(Fleet.poolTable("winches", "service", "", service, "qc-est-a")
                    + Fleet.routeTable("booking", 3_000, "urgent", "!book", "winches")
                    + Fleet.routeTable("stock", 2_000, "urgent", "look-up", "winches"));
            Fleet.EntryInstance entry = fleet.startEntry("entry-a", "qc-est-a");

            fleet.sendCommand(service.actualPort(), "/faults", "{\"failures\":1}");
            exchange(
                    "the service fails while it books",
                    fleet.request(entry, "booking", "{\"winch\":1}").header("Idempotency-Key", "winch-1"));
            exchange(
                    "sent again",
                    fleet.request(entry, "booking", "{\"winch\":1}").header("Idempotency-Key", "winch-1"));
            exchange("without a key", fleet.request(entry, "booking", "{\"winch\":2}"));
            fleet.setStoreFaults(new JsonObject().put("refuse", true));
            exchange(
                    "while the store is down",
                    fleet.request(entry, "booking", "{\"winch\":3}").header("Idempotency-Key", "winch-3"));
            exchange("stock meanwhile", fleet.request(entry, "stock", "{}"));
            fleet.sendCommand(service.actualPort(), "/faults", "{\"failures\":20}");
            exchange("a service that always fails", fleet.request(entry, "stock", "{}"));
            assertGolden("night.txt");
        }
    }
}
