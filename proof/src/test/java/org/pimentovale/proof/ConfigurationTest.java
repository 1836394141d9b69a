package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.standin.EndpointStandIn;
import org.pimentovale.tool.OperatorTool;

/** An accepted configuration is complete, becomes active on all instances within three seconds and never reverts. */
class ConfigurationTest {
    private static final long PROPAGATION_TIMEOUT_MS = 3_000;

    private final Fleet fleet = new Fleet();
    private EndpointStandIn service;

    @BeforeEach
    void configure() {
        service = fleet.startEndpoint(Fleet.serviceProfile(5));
        fleet.applyTables(tables("check"));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private String tables(String... kinds) {
        StringBuilder text = new StringBuilder(Fleet.poolTable("stock", "service", "", service, "zone-a"));
        for (String kind : kinds) {
            text.append(Fleet.routeTable(kind, 2_000, "urgent", "check", "stock"));
        }
        return text.toString();
    }

    private long revision(Fleet.EntryInstance entry) {
        return new JsonObject(fleet.operatorGet(entry, "/v1/instance")).getLong("revision");
    }

    private JsonObject storedConfiguration() {
        return new JsonObject(fleet.client()
                .sendAsync(
                        java.net.http.HttpRequest.newBuilder(java.net.URI.create(
                                        "http://127.0.0.1:" + fleet.storePort() + "/v1/objects/configuration/current"))
                                .build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString())
                .join()
                .body());
    }

    /** Applies tables without the operators' key, so that the tool writes to the store but cannot notify instances. */
    private int applyWithoutKey(String name, String text) {
        return OperatorTool.run(
                new String[] {
                    "configuration",
                    "apply",
                    "--file",
                    fleet.writeFile(name, text).toString(),
                    "--platform-address",
                    "127.0.0.1:" + fleet.storePort()
                },
                System.out,
                System.err);
    }

    @Nested
    class WhenOperatorsApplyConcurrently {
        @Test
        void disjointChangesAreBothAccepted() {
            List<CompletableFuture<Integer>> exitCodes = List.of(
                    CompletableFuture.supplyAsync(() -> applyWithoutKey("one.toml", tables("check", "first"))),
                    CompletableFuture.supplyAsync(() -> applyWithoutKey("two.toml", tables("check", "second"))));
            fleet.setStoreFaults(new JsonObject().put("latency_ms", 20));
            String base = "revision = 1\n";
            assertThat(exitCodes.get(0).join()).isAnyOf(0, 3);
            assertThat(exitCodes.get(1).join()).isAnyOf(0, 3);
            int third = applyWithoutKey("three.toml", base + tables("check", "third"));
            int fourth = applyWithoutKey("four.toml", base + tables("check", "fourth"));
            assertThat(List.of(third, fourth)).containsExactly(0, 0);
            assertThat(storedConfiguration().encode()).contains("\"third\"");
            assertThat(storedConfiguration().encode()).contains("\"fourth\"");
        }

        @Test
        void changesOfTheSameRouteConflict() {
            String base = "revision = 1\n";
            assertThat(applyWithoutKey("one.toml", base + tables("check").replace("2000", "3000")))
                    .isEqualTo(0);
            assertThat(applyWithoutKey("two.toml", base + tables("check").replace("2000", "4000")))
                    .isEqualTo(3);
            assertThat(storedConfiguration().encode()).contains("3000");
        }
    }

    @Nested
    class WhenTheStoreIsFaulty {
        @Test
        void aWriteWithALostResponseIsRecognizedAsAccepted() {
            fleet.setStoreFaults(new JsonObject().put("lost_answers", 2));
            assertThat(applyWithoutKey("lost.toml", tables("check", "lost"))).isEqualTo(0);
            assertThat(storedConfiguration().getLong("revision")).isEqualTo(2);
        }

        @Test
        void anAcceptedConfigurationBecomesActiveDespiteAnOutageRightAfterTheWrite() {
            fleet.setStoreFaults(new JsonObject().put("silent_watch", true));
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            Fleet.EntryInstance second = fleet.startEntry("entry-b", "zone-a");
            fleet.setStoreFaults(new JsonObject().put("outage_after_write_of", "configuration"));
            fleet.applyTables(tables("check", "added"));
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(first) == 2 && revision(second) == 2))
                    .isTrue();
            assertThat(fleet.call(second, "added", "{}").statusCode()).isEqualTo(200);
        }

        @Test
        void anAcceptedConfigurationBecomesActiveDespiteAnUnresponsiveWatch() {
            fleet.setStoreFaults(new JsonObject().put("silent_watch", true));
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            Fleet.EntryInstance second = fleet.startEntry("entry-b", "zone-a");
            assertThat(applyWithoutKey("silent.toml", tables("check", "added"))).isEqualTo(0);
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(first) == 2 && revision(second) == 2))
                    .isTrue();
        }

        @Test
        void aDamagedObjectIsReportedAndTheLastValidRevisionStaysActive() {
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(first) == 1))
                    .isTrue();
            fleet.overwriteConfiguration("{\"schema\":99}");
            first.process().awaitLine("event=configuration_damaged", "in_force=1");
            assertThat(fleet.call(first, "check", "{}").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class WhenAnInstanceCannotReachTheStore {
        @Test
        void anInstanceStartedDuringAnOutageLoadsTheConfigurationFromItsPeers() {
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            String peer = new JsonObject(fleet.operatorGet(first, "/v1/instance"))
                    .getJsonObject("self")
                    .getString("peer_address");
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(first) == 1))
                    .isTrue();
            fleet.setStoreFaults(new JsonObject().put("outage", true));
            Fleet.EntryInstance second = fleet.startEntryWithSeed("entry-b", "zone-a", peer);
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(second) == 1))
                    .isTrue();
            assertThat(fleet.call(second, "check", "{}").statusCode()).isEqualTo(200);
        }

        @Test
        void anInstanceWithPeersServesAndAnIsolatedOneRejectsRequests() {
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            Fleet.EntryInstance second = fleet.startEntry("entry-b", "zone-a");
            first.process().awaitLine("event=configuration_in_force");
            second.process().awaitLine("event=configuration_in_force");
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> fleet.operatorGet(first, "/v1/instance")
                            .contains("entry-b-")))
                    .isTrue();
            fleet.setStoreFaults(new JsonObject().put("outage", true));
            assertThat(fleet.eventually(
                            1_000 + PROPAGATION_TIMEOUT_MS,
                            () -> fleet.call(first, "check", "{}").statusCode() != 200))
                    .isFalse();
            second.process().suspend();
            assertThat(fleet.eventually(
                            2 * PROPAGATION_TIMEOUT_MS,
                            () -> fleet.call(first, "check", "{}").body().contains("instance-isolated")))
                    .isTrue();
            second.process().resume();
            assertThat(fleet.eventually(
                            PROPAGATION_TIMEOUT_MS,
                            () -> fleet.call(first, "check", "{}").statusCode() == 200))
                    .isTrue();
        }
    }

    @Nested
    class WhenAnOldFileIsAppliedAgain {
        @Test
        void aZoneWithdrawnSinceThenStaysWithdrawn() {
            assertThat(fleet.runTool("zone", "out", "zone-a")).isEqualTo(0);
            fleet.applyTables(tables("check"));
            assertThat(storedConfiguration().getJsonArray("withdrawn_zones")).containsExactly("zone-a");
        }
    }

    @Nested
    class WhenAMessageIsNotAuthenticated {
        @Test
        void theConfigurationStaysUnchanged() {
            Fleet.EntryInstance first = fleet.startEntry("entry-a", "zone-a");
            assertThat(fleet.eventually(PROPAGATION_TIMEOUT_MS, () -> revision(first) == 1))
                    .isTrue();
            JsonObject forged = storedConfiguration().put("revision", 50);
            fleet.sendCommand(first.operatorPort(), "/v1/configuration", forged.encode());
            int peerPort = Integer.parseInt(new JsonObject(fleet.operatorGet(first, "/v1/instance"))
                    .getJsonObject("self")
                    .getString("peer_address")
                    .replaceAll(".*:", ""));
            fleet.sendCommand(peerPort, "/v1/peer/news", "{\"revision\":50}");
            assertThat(revision(first)).isEqualTo(1);
            first.process().awaitLine("event=peer_message_rejected");
        }
    }
}
