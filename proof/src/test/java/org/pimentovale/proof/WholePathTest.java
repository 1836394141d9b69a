package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;

/** A request goes the whole way through two entry daemons. */
class WholePathTest {
    @Nested
    class TwoEntryInstances {
        @Test
        void serveAStreamedCritiqueAndABooking() {
            try (Fleet fleet = new Fleet()) {
                EndpointStandIn encoder = fleet.endpoint(Fleet.service(5));
                EndpointStandIn booking = fleet.endpoint(Fleet.service(5));
                EndpointStandIn engine = fleet.endpoint(Fleet.engine(2, 8));
                fleet.apply(Fleet.pool("encoder", "service", "", encoder, "zone-a")
                        + Fleet.pool("engine", "chat", "", engine, "zone-a")
                        + Fleet.pool("booking", "service", "", booking, "zone-b")
                        + Fleet.route("critique", 10_000, "patient", "encode", "encoder", "generate", "engine")
                        + Fleet.route("booking", 5_000, "urgent", "!book", "booking"));
                Fleet.Entry first = fleet.entry("entry-a", "zone-a");
                Fleet.Entry second = fleet.entry("entry-b", "zone-b");

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
