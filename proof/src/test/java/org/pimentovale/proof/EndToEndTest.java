package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** Two entry daemons serve a streamed multi-stage request and a booking from the caller to the endpoints. */
class EndToEndTest {
    @Nested
    class TwoEntryInstances {
        @Test
        void serveAStreamedCritiqueAndABooking() {
            try (Fleet fleet = new Fleet()) {
                EndpointStandIn encoder = fleet.startEndpoint(Fleet.serviceProfile(5));
                EndpointStandIn booking = fleet.startEndpoint(Fleet.serviceProfile(5));
                EndpointStandIn engine = fleet.startEndpoint(Fleet.engineProfile(2, 8));
                fleet.applyTables(Fleet.poolTable("encoder", "service", "", encoder, "zone-a")
                        + Fleet.poolTable("engine", "chat", "", engine, "zone-a")
                        + Fleet.poolTable("booking", "service", "", booking, "zone-b")
                        + Fleet.routeTable("critique", 10_000, "patient", "encode", "encoder", "generate", "engine")
                        + Fleet.routeTable("booking", 5_000, "urgent", "!book", "booking"));
                Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
                Fleet.EntryInstance second = fleet.startEntry("entry-b", "zone-b");

                HttpResponse<String> critique = fleet.send(fleet.request(first, "critique", "{\"prompt\":\"juniper\"}")
                        .header("Accept", "text/event-stream")
                        .build());
                HttpResponse<String> booked = fleet.book(second, "slot-1");

                assertThat(critique.statusCode()).isEqualTo(200);
                assertThat(critique.body()).contains("event: done");
                assertThat(critique.body()).contains("word7");
                assertThat(booked.statusCode()).isEqualTo(200);
                assertThat(new JsonObject(booked.body()).getJsonObject("result").getString("reference"))
                        .startsWith("ref-");
                assertThat(fleet.runs(booking)).hasSize(1);
            }
        }
    }
}
