package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pimentovale.proof.GatewayFleet.GatewayProcess;

/** Guards against gateways that never get ready, or learn of no change, because of large entries of other writers. */
class LargeEntriesTest {
    private static final List<String> KINDS = List.of("servers", "gateways", "evacuations", "quarantines");
    private static final int ENTRIES = 16;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final int LARGEST_RECORD_BYTES = 60_000;
    private static final int RECORDS = 200;
    /** The heap of a gateway as it is deployed. */
    private static final int HEAP_MEGABYTES = 96;
    /** The time after which a change has to be in force. */
    private static final int DRAIN_MS = 2_000;

    private final GatewayFleet fleet = new GatewayFleet();
    private final HttpClient client = fleet.vertx().createHttpClient();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static JsonArray samples(int bytes) {
        JsonArray samples = new JsonArray();
        int sampleBytes = "{\"t\":10000,\"v\":1},".length();
        for (int number = 0; number < bytes / sampleBytes; number++) {
            samples.add(new JsonObject().put("t", 10_000).put("v", 1));
        }
        return samples;
    }

    private void putLargeEntries() {
        JsonObject entry = new JsonObject().put("service", 5).put("samples", samples(ENTRY_BYTES));
        for (String kind : KINDS) {
            for (int number = 0; number < ENTRIES; number++) {
                fleet.store().put(kind, "other-" + number, entry);
            }
        }
    }

    /** Lists endpoints of a service that no route names, each with as much content as is read. */
    private void putLargeRecords() {
        JsonObject record = fleet.store()
                .spec("servers", "engine-1")
                .copy()
                .put("service", "unnamed")
                .put("samples", samples(LARGEST_RECORD_BYTES));
        for (int number = 0; number < RECORDS; number++) {
            fleet.store().put("servers", "record-" + number, record);
        }
    }

    private int status(GatewayProcess gateway, String attempt) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost("127.0.0.1")
                .setPort(gateway.callerPort())
                .setURI("/short/50")
                .putHeader("Host", GatewayFleet.HOST)
                .putHeader("X-Attempt-Id", attempt)
                .putHeader("X-Deadline-Ms", "5000")
                .putHeader("Authorization", "Bearer " + GatewayFleet.API_KEY);
        return GatewayFleet.await(
                client.request(options).compose(HttpClientRequest::send).compose(response -> response.body()
                        .map(body -> response.statusCode())));
    }

    private void assertFollowsChanges(GatewayProcess gateway) {
        assertThat(status(gateway, "served")).isEqualTo(200);
        fleet.store()
                .put(
                        "servers",
                        "engine-1",
                        fleet.store().spec("servers", "engine-1").copy().put("state", "draining"));
        fleet.pause(DRAIN_MS);
        assertThat(status(gateway, "after-drain")).isEqualTo(503);
    }

    @Test
    void ofAllKindsLeaveAGatewayThatStartsBesideThemReady() {
        putLargeEntries();
        putLargeRecords();

        assertFollowsChanges(fleet.start("gateway-1", HEAP_MEGABYTES));
    }

    @Test
    void thatAreWrittenLaterLeaveChangesKnown() {
        GatewayProcess gateway = fleet.start("gateway-1", HEAP_MEGABYTES);

        putLargeEntries();
        putLargeRecords();

        assertFollowsChanges(gateway);
    }
}
