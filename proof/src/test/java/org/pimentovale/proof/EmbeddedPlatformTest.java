package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** One daemon alone, with its platform within the process, tried by one person. */
class EmbeddedPlatformTest {
    @Nested
    class WithATablesFile {
        @Test
        void servesStreamsAndBookings() {
            try (Fleet fleet = new Fleet()) {
                EndpointStandIn service = fleet.endpoint(Fleet.service(5));
                fleet.write(
                        "embedded-tables.toml",
                        Fleet.pool("booking", "service", "", service, "zone-a")
                                + Fleet.route("booking", 4_000, "urgent", "!book", "booking"));
                Fleet.Entry entry = fleet.embeddedEntry("entry-a", "zone-a", "embedded-tables.toml");
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
