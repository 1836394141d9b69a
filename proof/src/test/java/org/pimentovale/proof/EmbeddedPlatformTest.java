package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** A single daemon with the embedded platform, as in a local trial installation. */
class EmbeddedPlatformTest {
    @Nested
    class WithATablesFile {
        @Test
        void servesBookingsAndRecordsAttempts() {
            try (Fleet fleet = new Fleet()) {
                EndpointStandIn service = fleet.startEndpoint(Fleet.serviceProfile(5));
                fleet.writeFile(
                        "embedded-tables.toml",
                        Fleet.poolTable("booking", "service", "", service, "zone-a")
                                + Fleet.routeTable("booking", 4_000, "urgent", "!book", "booking"));
                Fleet.EntryInstance entry = fleet.startEmbeddedEntry("entry-a", "zone-a", "embedded-tables.toml");
                assertThat(fleet.book(entry, "one").statusCode()).isEqualTo(200);
                assertThat(fleet.book(entry, "one").statusCode()).isEqualTo(200);
                assertThat(fleet.runs(service)).hasSize(1);
                String identifier = new JsonObject(fleet.book(entry, "two").body()).getString("request_id");
                assertThat(fleet.operatorGet(entry, "/v1/requests/" + identifier))
                        .contains("attempt_answered");
            }
        }
    }
}
