package org.pimentovale.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.pimentovale.standin.EndpointStandIn;

/** A booking runs at most once, judged by the service's own record, with a fault at every step. */
class AtMostOnceTest {
    private final Fleet fleet = new Fleet();
    private EndpointStandIn service;

    @BeforeEach
    void configure() {
        service = fleet.endpoint(Fleet.service(20));
        fleet.apply(Fleet.pool("booking", "service", "", service, "zone-a")
                + Fleet.pool("stock", "service", "", service, "zone-a")
                + Fleet.route("booking", 4_000, "urgent", "!book", "booking")
                + Fleet.route("check", 4_000, "urgent", "check", "stock"));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** The steps between which an entry instance can die or stand still. */
    private enum Step {
        CLAIM_ARRIVED(true, "write claims before", 0),
        CLAIM_WRITTEN(true, "write claims after", 0),
        CALL_ARRIVED(false, "run before", 0),
        CALL_RUN(false, "run after", 0),
        OUTCOME_ARRIVED(true, "write claims before", 1),
        OUTCOME_WRITTEN(true, "write claims after", 1);

        private final boolean atStore;
        private final String point;
        private final int passes;

        Step(boolean atStore, String point, int passes) {
            this.atStore = atStore;
            this.point = point;
            this.passes = passes;
        }
    }

    /** What happens to the entry instance at the step. */
    private enum Fault {
        KILLED {
            @Override
            void strike(DaemonProcess process) {
                process.kill();
            }

            @Override
            void end(DaemonProcess process) {}
        },
        FROZEN {
            @Override
            void strike(DaemonProcess process) {
                process.freeze();
            }

            @Override
            void end(DaemonProcess process) {
                process.thaw();
            }
        };

        abstract void strike(DaemonProcess process);

        abstract void end(DaemonProcess process);
    }

    static Stream<Arguments> everyStepAndFault() {
        return Stream.of(Step.values())
                .flatMap(step -> Stream.of(Fault.values()).map(fault -> Arguments.of(step, fault)));
    }

    private long runsOf(String key) {
        JsonArray runs = fleet.runs(service);
        return runs.stream()
                .filter(run -> key.equals(((JsonObject) run).getString("key")))
                .count();
    }

    private static boolean saysNotRun(HttpResponse<String> answer) {
        return answer.statusCode() >= 400 && "not-run".equals(new JsonObject(answer.body()).getString("outcome"));
    }

    private void assertTruthful(String key, List<HttpResponse<String>> answers) {
        long runs = runsOf(key);
        assertWithMessage("runs of %s", key).that(runs).isAtMost(1);
        Set<String> references = new HashSet<>();
        for (HttpResponse<String> answer : answers) {
            if (answer.statusCode() == 200) {
                references.add(
                        new JsonObject(answer.body()).getJsonObject("result").getString("reference"));
            }
        }
        if (!references.isEmpty()) {
            assertThat(references).hasSize(1);
            assertThat(runs).isEqualTo(1);
        }
        if (answers.stream().allMatch(AtMostOnceTest::saysNotRun)) {
            assertThat(runs).isEqualTo(0);
        }
    }

    @Nested
    class WithAFaultAtEveryStep {
        @ParameterizedTest
        @MethodSource("org.pimentovale.proof.AtMostOnceTest#everyStepAndFault")
        void runsOnceAndAnswersTruthfully(Step step, Fault fault) {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            String key = step + "-" + fault;
            int port = step.atStore ? fleet.storePort() : service.actualPort();
            JsonObject hold = new JsonObject().put("point", step.point).put("passes", step.passes);
            fleet.command(port, "/faults", new JsonObject().put("hold", hold).encode());
            CompletableFuture<HttpResponse<String>> original = fleet.bookLater(first, key);
            fleet.command(port, "/held", "");
            fault.strike(first.process());
            fleet.command(port, "/release", "");

            List<HttpResponse<String>> answers = new ArrayList<>();
            answers.add(fleet.book(second, key));
            long runsBefore = runsOf(key);
            if (saysNotRun(answers.get(0))) {
                assertThat(runsBefore).isEqualTo(0);
            }
            fault.end(first.process());
            try {
                answers.add(original.join());
            } catch (CompletionException connectionLost) {
                assertThat(fault).isEqualTo(Fault.KILLED);
            }
            answers.add(fleet.book(second, key));

            assertTruthful(key, answers);
        }
    }

    @Nested
    class WhenTheStoreLosesAnswers {
        @Test
        void aClaimWhoseAnswerWasLostStillRunsOnce() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            fleet.book(first, "connection-opened");
            fleet.storeFaults(new JsonObject().put("lost_answers", 1));
            HttpResponse<String> answer = fleet.book(first, "lost");
            HttpResponse<String> resend = fleet.book(second, "lost");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(resend.statusCode()).isEqualTo(200);
            assertTruthful("lost", List.of(answer, resend));
        }

        @Test
        void aClaimThatTakesEffectLaterIsReleasedAndTheKeyCanRunOnce() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            Fleet.Entry second = fleet.entry("entry-b", "zone-a");
            fleet.storeFaults(new JsonObject().put("delayed_writes", 9).put("delay_ms", 6_000));
            HttpResponse<String> answer = fleet.book(first, "later");
            assertWithMessage(answer.body()).that(saysNotRun(answer)).isTrue();
            assertThat(runsOf("later")).isEqualTo(0);
            List<HttpResponse<String>> answers = new ArrayList<>(List.of(answer));
            boolean ranInTheEnd = fleet.eventually(15_000, () -> {
                answers.add(fleet.book(second, "later"));
                return answers.get(answers.size() - 1).statusCode() == 200;
            });
            assertThat(ranInTheEnd).isTrue();
            assertTruthful("later", answers);
        }
    }

    @Nested
    class WhileTheStoreIsDown {
        @Test
        void bookingsAreRefusedTrulyAndIdempotentWorkGoesOn() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            fleet.book(first, "before");
            fleet.storeFaults(new JsonObject().put("outage", true));
            List<HttpResponse<String>> refused = new ArrayList<>();
            for (int position = 0; position < 5; position++) {
                refused.add(fleet.book(first, "during-" + position));
                assertThat(fleet.ask(first, "check", "{}").statusCode()).isEqualTo(200);
            }
            for (int position = 0; position < 5; position++) {
                assertThat(saysNotRun(refused.get(position))).isTrue();
                assertThat(refused.get(position).headers().firstValue("Retry-After"))
                        .isPresent();
                assertThat(runsOf("during-" + position)).isEqualTo(0);
            }
            fleet.storeFaults(new JsonObject().put("outage", false));
            assertThat(fleet.eventually(3_000, () -> fleet.book(first, "after").statusCode() == 200))
                    .isTrue();
            assertThat(runsOf("after")).isEqualTo(1);
        }
    }

    @Nested
    class StoreUse {
        private long writes() {
            return fleet.storeCounts().getLong("write claims", 0L);
        }

        @Test
        void aBookingCostsTwoWritesAndIdempotentWorkNone() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            long before = writes();
            for (int position = 0; position < 20; position++) {
                assertThat(fleet.book(first, "counted-" + position).statusCode())
                        .isEqualTo(200);
            }
            assertThat(writes() - before).isEqualTo(40);
            for (int position = 0; position < 20; position++) {
                fleet.ask(first, "check", "{}");
            }
            assertThat(writes() - before).isEqualTo(40);
        }
    }

    @Nested
    class WhenTheServiceFails {
        @Test
        void anAnswerOfFailureStaysUnknownAndIsNeverRunAgain() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            fleet.command(service.actualPort(), "/faults", "{\"failures\":1}");
            HttpResponse<String> answer = fleet.book(first, "failed");
            HttpResponse<String> resend = fleet.book(first, "failed");
            assertThat(new JsonObject(answer.body()).getString("outcome")).isEqualTo("unknown");
            assertThat(new JsonObject(resend.body()).getString("outcome")).isEqualTo("unknown");
            assertThat(runsOf("failed")).isEqualTo(1);
        }

        @Test
        void aSilentServiceStaysUnknownAndIsNeverRunAgain() {
            Fleet.Entry first = fleet.entry("entry-a", "zone-a");
            fleet.book(first, "warm");
            fleet.command(service.actualPort(), "/faults", "{\"hold\":{\"point\":\"run after\"}}");
            HttpResponse<String> answer = fleet.book(first, "silent");
            HttpResponse<String> resend = fleet.book(first, "silent");
            assertThat(new JsonObject(answer.body()).getString("outcome")).isEqualTo("unknown");
            assertThat(resend.statusCode()).isEqualTo(409);
            assertThat(runsOf("silent")).isEqualTo(1);
        }
    }
}
