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

/** An accepted configuration is whole, in force everywhere within three seconds, and never reverts. */
class ConfigurationTest {
    private static final long IN_FORCE_MS = 3_000;

    private final Fleet fleet = new Fleet();
    private EndpointStandIn service;

    @BeforeEach
    void configure() {
        service = fleet.endpoint(Fleet.service(5));
        fleet.apply(tables("check"));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private String tables(String... kinds) {
        StringBuilder text = new StringBuilder(Fleet.pool("stock", "service", "", service, "zone-a"));
        for (String kind : kinds) {
            text.append(Fleet.route(kind, 2_000, "urgent", "check", "stock"));
        }
        return text.toString();
    }

    private long revision(Fleet.Entry entry) {
        return new JsonObject(fleet.operatorGet(entry, "/v1/instance")).getLong("revision");
    }

    private JsonObject stored() {
        return new JsonObject(fleet.client()
                .sendAsync(
                        java.net.http.HttpRequest.newBuilder(java.net.URI.create(
                                        "http://127.0.0.1:" + fleet.storePort() + "/v1/objects/configuration/current"))
                                .build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString())
                .join()
                .body());
    }

    /** Applies without a key, so that the tool cannot tell the instances. */
    private int applyToTheStoreOnly(String name, String text) {
        return OperatorTool.run(
                new String[] {
                    "configuration",
                    "apply",
                    "--file",
                    fleet.write(name, text).toString(),
                    "--platform-address",
                    "127.0.0.1:" + fleet.storePort()
                },
                System.out,
                System.err);
    }

    @Nested
    class WhenOperatorsRace {
        @Test
        void disjointChangesAreBothAccepted() {
            List<CompletableFuture<Integer>> exits = List.of(
                    CompletableFuture.supplyAsync(() -> applyToTheStoreOnly("one.toml", tables("check", "first"))),
                    CompletableFuture.supplyAsync(() -> applyToTheStoreOnly("two.toml", tables("check", "second"))));
            fleet.storeFaults(new JsonObject().put("latency_ms", 20));
            String base = "revision = 1\n";
            assertThat(exits.get(0).join()).isAnyOf(0, 3);
            assertThat(exits.get(1).join()).isAnyOf(0, 3);
            int third = applyToTheStoreOnly("three.toml", base + tables("check", "third"));
            int fourth = applyToTheStoreOnly("four.toml", base + tables("check", "fourth"));
            assertThat(List.of(third, fourth)).containsExactly(0, 0);
            assertThat(stored().encode()).contains("\"third\"");
            assertThat(stored().encode()).contains("\"fourth\"");
        }

        @Test
        void changesOfTheSameEntryConflictByName() {
            String base = "revision = 1\n";
            assertThat(applyToTheStoreOnly("one.toml", base + tables("check").replace("2000", "3000")))
                    .isEqualTo(0);
            assertThat(applyToTheStoreOnly("two.toml", base + tables("check").replace("2000", "4000")))
                    .isEqualTo(3);
            assertThat(stored().encode()).contains("3000");
        }
    }

    @Nested
    class WhenTheStoreMisbehaves {
        @Test
        void aLostAnswerIsFoundOutToBeAccepted() {
            fleet.storeFaults(new JsonObject().put("lost_answers", 2));
            assertThat(applyToTheStoreOnly("lost.toml", tables("check", "lost")))
                    .isEqualTo(0);
            assertThat(stored().getLong("revision")).isEqualTo(2);
        }

        @Test
        void anOutageRightAfterTheAcceptanceDoesNotKeepItOutOfForce() {
            fleet.storeFaults(new JsonObject().put("silent_watch", true));
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            fleet.storeFaults(new JsonObject().put("outage_after_write_of", "configuration"));
            fleet.apply(tables("check", "added"));
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(first) == 2 && revision(second) == 2))
                    .isTrue();
            assertThat(fleet.ask(second, "added", "{}").statusCode()).isEqualTo(200);
        }

        @Test
        void aSilentWatchDoesNotKeepItOutOfForce() {
            fleet.storeFaults(new JsonObject().put("silent_watch", true));
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            assertThat(applyToTheStoreOnly("silent.toml", tables("check", "added")))
                    .isEqualTo(0);
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(first) == 2 && revision(second) == 2))
                    .isTrue();
        }

        @Test
        void aDamagedObjectIsReportedAndTheLastGoodVersionServes() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(first) == 1))
                    .isTrue();
            fleet.damageConfiguration("{\"schema\":99}");
            first.process().awaitLine("event=configuration_damaged", "in_force=1");
            assertThat(fleet.ask(first, "check", "{}").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class WhenAnInstanceIsCutOff {
        @Test
        void oneThatStartsDuringAnOutageLearnsFromTheOthers() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            String peer = new JsonObject(fleet.operatorGet(first, "/v1/instance"))
                    .getJsonObject("self")
                    .getString("peer_address");
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(first) == 1))
                    .isTrue();
            fleet.storeFaults(new JsonObject().put("outage", true));
            Fleet.Entry second = fleet.entryWithSeeds("entry-b", "zone-a", peer);
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(second) == 1))
                    .isTrue();
            assertThat(fleet.ask(second, "check", "{}").statusCode()).isEqualTo(200);
        }

        @Test
        void oneThatIsAloneStopsTakingRequestsAndOneWithOthersServesOn() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            first.process().awaitLine("event=configuration_in_force");
            second.process().awaitLine("event=configuration_in_force");
            assertThat(fleet.eventually(IN_FORCE_MS, () -> fleet.operatorGet(first, "/v1/instance")
                            .contains("entry-b-")))
                    .isTrue();
            fleet.storeFaults(new JsonObject().put("outage", true));
            assertThat(fleet.eventually(
                            1_000 + IN_FORCE_MS,
                            () -> fleet.ask(first, "check", "{}").statusCode() != 200))
                    .isFalse();
            second.process().freeze();
            assertThat(fleet.eventually(
                            2 * IN_FORCE_MS,
                            () -> fleet.ask(first, "check", "{}").body().contains("instance-isolated")))
                    .isTrue();
            second.process().thaw();
            assertThat(fleet.eventually(
                            IN_FORCE_MS, () -> fleet.ask(first, "check", "{}").statusCode() == 200))
                    .isTrue();
        }
    }

    @Nested
    class WhenAnOldFileIsAppliedAgain {
        @Test
        void aZoneTakenOutSinceStaysOut() {
            assertThat(fleet.tool("zone", "out", "zone-a")).isEqualTo(0);
            fleet.apply(tables("check"));
            assertThat(stored().getJsonArray("withdrawn_zones")).containsExactly("zone-a");
        }
    }

    @Nested
    class WhenAMessageIsForged {
        @Test
        void nothingChangesWithoutTheKey() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            assertThat(fleet.eventually(IN_FORCE_MS, () -> revision(first) == 1))
                    .isTrue();
            JsonObject forged = stored().put("revision", 50);
            fleet.command(first.operatorPort(), "/v1/configuration", forged.encode());
            int peerPort = Integer.parseInt(new JsonObject(fleet.operatorGet(first, "/v1/instance"))
                    .getJsonObject("self")
                    .getString("peer_address")
                    .replaceAll(".*:", ""));
            fleet.command(peerPort, "/v1/peer/news", "{\"revision\":50}");
            assertThat(revision(first)).isEqualTo(1);
            first.process().awaitLine("event=peer_message_rejected");
        }
    }
}
