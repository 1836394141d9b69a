package org.pimentovale.kernel.schedule;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.kernel.endpoint.EndpointIncarnation;
import org.pimentovale.kernel.endpoint.LoadReport;
import org.pimentovale.kernel.endpoint.WarmthTable;
import org.pimentovale.kernel.endpoint.WarmupRule;
import org.pimentovale.kernel.retry.RetryReason;
import org.pimentovale.kernel.routing.LeastInFlightPolicy;
import org.pimentovale.table.Endpoint;
import org.pimentovale.table.Pool;
import org.pimentovale.table.Urgency;

class PoolSchedulerTest {
    private static final int LIMIT = 2;

    /** A test bench: a scheduler with a manually advanced clock, which records grants and refusals. */
    private static final class Bench {
        private final WarmthTable warmth = new WarmthTable();
        private final List<Grant> grants = new ArrayList<>();
        private final List<ErrorCode> refusals = new ArrayList<>();
        private final Pool pool;
        private final PoolScheduler scheduler;
        private long nowMs = 1_000;

        Bench(int endpoints, int coldLimit) {
            this(endpoints, LIMIT, coldLimit);
        }

        Bench(int endpoints, int limit, int coldLimit) {
            List<Endpoint> list = new ArrayList<>();
            Map<String, WarmupRule> rules = new HashMap<>();
            for (int position = 0; position < endpoints; position++) {
                list.add(new Endpoint("host:" + position, "zone-" + position % 2));
                rules.put("host:" + position, new WarmupRule(coldLimit, 2, 0));
            }
            pool = new Pool("pool", "service", "", limit, coldLimit, 2, 0, 1_000, 100, false, List.of(), list);
            warmth.retain(rules);
            scheduler = new PoolScheduler(
                    pool,
                    context(Set.of(), 1),
                    new LeastInFlightPolicy(),
                    () -> nowMs,
                    new SplittableRandom(7),
                    warmth,
                    100);
        }

        static SchedulerContext context(Set<String> withdrawn, int instances) {
            return new SchedulerContext(withdrawn, Set.of(), instances, "self", "zone-0");
        }

        Bench warm() {
            pool.endpoints().forEach(endpoint -> verify(endpoint.address(), "one"));
            pool.endpoints().forEach(endpoint -> warmth.recordWarm(new EndpointIncarnation(endpoint.address(), "one")));
            return this;
        }

        void verify(String address, String incarnation) {
            warmth.observe(address, new LoadReport(incarnation, 0, Optional.empty()), nowMs, 0, nowMs);
        }

        void submit(String workspace, Urgency urgency, long deadlineInMs) {
            StageAttempt attempt =
                    new StageAttempt(workspace, workspace, urgency, nowMs + deadlineInMs, 0, 0, Set.of(), false);
            scheduler.submit(attempt, new GrantListener() {
                @Override
                public void granted(Grant grant) {
                    grants.add(grant);
                }

                @Override
                public void refused(ErrorCode code, long retryAfterMs) {
                    refusals.add(code);
                }
            });
        }

        Grant completeOldest() {
            Grant oldest = grants.remove(0);
            scheduler.release(oldest, CallResult.completed(100));
            return oldest;
        }
    }

    @Nested
    class WhenEndpointsAreFree {
        @Test
        void workIsGrantedUpToTheLimitAndThenWaits() {
            Bench bench = new Bench(2, LIMIT).warm();
            for (int position = 0; position < 5; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 10_000);
            }
            assertThat(bench.grants).hasSize(4);
            assertThat(bench.scheduler.queueLength()).isEqualTo(1);
        }

        @Test
        void anUnverifiedEndpointGetsNothing() {
            Bench bench = new Bench(2, LIMIT).warm();
            bench.warmth.recordConnectionLoss("host:0");
            for (int position = 0; position < 4; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 10_000);
            }
            assertThat(bench.grants.stream().map(grant -> grant.endpoint().address()))
                    .containsExactly("host:1", "host:1");
        }
    }

    @Nested
    class WhenAZoneIsWithdrawn {
        @Test
        void newWorkGoesToOtherZonesAndOldGrantsAreRejected() {
            Bench bench = new Bench(2, LIMIT).warm();
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            bench.scheduler.apply(bench.pool, Bench.context(Set.of("zone-0"), 1));
            Grant inZone = bench.grants.stream()
                    .filter(grant -> grant.endpoint().zone().equals("zone-0"))
                    .findFirst()
                    .orElseThrow();
            assertThat(bench.scheduler.revalidate(inZone)).hasValue(ErrorCode.NO_ENDPOINT);
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants.get(2).endpoint().zone()).isEqualTo("zone-1");
        }

        @Test
        void waitingWorkIsRefusedWhenNoZoneIsLeft() {
            Bench bench = new Bench(2, LIMIT).warm();
            for (int position = 0; position < 6; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 10_000);
            }
            bench.scheduler.apply(bench.pool, Bench.context(Set.of("zone-0", "zone-1"), 1));
            assertThat(bench.refusals).containsExactly(ErrorCode.NO_ENDPOINT, ErrorCode.NO_ENDPOINT);
        }
    }

    @Nested
    class WhenThePoolIsRemoved {
        @Test
        void waitingWorkIsRefusedAndOldGrantsAreRejected() {
            Bench bench = new Bench(1, LIMIT).warm();
            for (int position = 0; position < 3; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 10_000);
            }
            bench.scheduler.close();
            assertThat(bench.refusals).containsExactly(ErrorCode.NO_ENDPOINT);
            assertThat(bench.scheduler.revalidate(bench.grants.get(0))).hasValue(ErrorCode.NO_ENDPOINT);
        }
    }

    @Nested
    class WhenAnEndpointIsCold {
        @Test
        void itGetsNothingWithoutALease() {
            Bench bench = new Bench(1, 1);
            bench.verify("host:0", "one");
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants).isEmpty();
            assertThat(bench.scheduler.queueLength()).isEqualTo(1);
        }

        @Test
        void leaseHolderSendsUpToTheColdLimitLessTheLoadOfOthers() {
            Bench bench = new Bench(1, 1);
            bench.verify("host:0", "one");
            bench.warmth.recordLease(new EndpointIncarnation("host:0", "one"), false, 9_000, 1_000);
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants).isEmpty();
            bench.warmth.observe("host:0", new LoadReport("one", 1, Optional.empty()), 1_001, 0, 1_002);
            bench.scheduler.processQueue();
            assertThat(bench.grants).isEmpty();
            bench.warmth.observe("host:0", new LoadReport("one", 0, Optional.empty()), 1_003, 0, 1_004);
            bench.scheduler.processQueue();
            assertThat(bench.grants).hasSize(1);
        }

        @Test
        void grantIsRejectedAfterTheLeaseExpires() {
            Bench bench = new Bench(1, 1);
            bench.verify("host:0", "one");
            bench.warmth.recordLease(new EndpointIncarnation("host:0", "one"), false, 4_000, 1_000);
            bench.verify("host:0", "one");
            bench.submit("one", Urgency.INTERACTIVE, 60_000);
            assertThat(bench.scheduler.revalidate(bench.grants.get(0))).isEmpty();
            bench.nowMs = 4_000;
            assertThat(bench.scheduler.revalidate(bench.grants.get(0))).hasValue(ErrorCode.NO_ENDPOINT);
        }

        @Test
        void aNewIncarnationOfAWarmEndpointIsColdAgain() {
            Bench bench = new Bench(1, 1).warm();
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            bench.verify("host:0", "two");
            assertThat(bench.scheduler.revalidate(bench.grants.get(0))).hasValue(ErrorCode.NO_ENDPOINT);
        }
    }

    @Nested
    class WhenDemandExceedsCapacity {
        @Test
        void urgentWorkGoesFirstAndPatientWorkIsNotStarved() {
            Bench bench = new Bench(1, LIMIT).warm();
            for (int position = 0; position < 40; position++) {
                bench.submit("patient", Urgency.PATIENT, 1_000_000);
                bench.submit("urgent", Urgency.URGENT, 1_000_000);
            }
            List<String> order = new ArrayList<>();
            for (int position = 0; position < 30; position++) {
                order.add(bench.completeOldest().attempt().workspace());
            }
            long urgent = order.stream().filter("urgent"::equals).count();
            assertThat(urgent).isAtLeast(24L);
            assertThat(order).contains("patient");
        }

        @Test
        void aLargeWorkspaceDoesNotStarveSmallOnes() {
            Bench bench = new Bench(1, LIMIT).warm();
            for (int position = 0; position < 60; position++) {
                bench.submit("large", Urgency.INTERACTIVE, 1_000_000);
            }
            for (int position = 0; position < 4; position++) {
                bench.submit("small-" + position, Urgency.INTERACTIVE, 1_000_000);
            }
            List<String> order = new ArrayList<>();
            for (int position = 0; position < 12; position++) {
                order.add(bench.completeOldest().attempt().workspace());
            }
            assertThat(order).containsAtLeast("small-0", "small-1", "small-2", "small-3");
        }

        @Test
        void workThatCannotFinishInTimeIsRefusedAtOnce() {
            Bench bench = new Bench(1, LIMIT).warm();
            for (int position = 0; position < 20; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 300);
            }
            assertThat(bench.refusals).isNotEmpty();
            assertThat(Set.copyOf(bench.refusals)).containsExactly(ErrorCode.DEADLINE_UNREACHABLE);
            assertThat(bench.scheduler.queueLength()).isAtMost(6);
        }

        @Test
        void fullQueueRefusesTheWorkspaceWithMostWaitingWork() {
            Bench bench = new Bench(1, LIMIT).warm();
            for (int position = 0; position < 102; position++) {
                bench.submit("large", Urgency.INTERACTIVE, 10_000_000);
            }
            bench.submit("small", Urgency.INTERACTIVE, 10_000_000);
            assertThat(bench.refusals).containsExactly(ErrorCode.OVERLOADED);
            assertThat(bench.scheduler.queueLength()).isEqualTo(100);
        }
    }

    @Nested
    class WhenAnEndpointFails {
        @Test
        void itIsSuspendedTemporarily() {
            Bench bench = new Bench(2, LIMIT).warm();
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            Grant failed = bench.grants.remove(0);
            bench.scheduler.release(failed, CallResult.failed(RetryReason.CONNECTION_LOST));
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants.get(0).endpoint()).isNotEqualTo(failed.endpoint());
            bench.nowMs += 201;
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants.get(1).endpoint()).isEqualTo(failed.endpoint());
        }

        @Test
        void oneSilentConnectionDoesNotSuspendIt() {
            Bench bench = new Bench(1, LIMIT).warm();
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            bench.scheduler.release(bench.grants.remove(0), CallResult.failed(RetryReason.SILENCE));
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants).hasSize(1);
        }
    }

    @Nested
    class WhenManyInstancesShareAnEndpoint {
        @Test
        void eachUsesItsShareUntilAFreshReportShowsSpareCapacity() {
            Bench bench = new Bench(1, LIMIT).warm();
            bench.scheduler.apply(bench.pool, Bench.context(Set.of(), 2));
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            bench.submit("one", Urgency.INTERACTIVE, 10_000);
            assertThat(bench.grants).hasSize(1);
            bench.scheduler.recordLoad("host:0", 1);
            bench.scheduler.processQueue();
            assertThat(bench.grants).hasSize(2);
        }

        @Test
        void theyStayWithinTheLimitWhenAllReadTheSameReport() {
            int limit = 16;
            int instances = 3;
            Bench bench = new Bench(1, limit, limit).warm();
            bench.scheduler.apply(bench.pool, Bench.context(Set.of(), instances));
            bench.scheduler.recordLoad("host:0", 0);
            for (int position = 0; position < limit; position++) {
                bench.submit("one", Urgency.INTERACTIVE, 60_000);
            }
            assertThat(bench.grants.size() * instances).isLessThan(limit + instances);
        }
    }

    @Property(tries = 300, seed = "42")
    void neverExceedsLimitsAndSettlesEveryRequestOnce(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = 0, max = 9) Integer> actions) {
        Bench bench = new Bench(3, LIMIT).warm();
        int submitted = 0;
        int completed = 0;
        for (int action : actions) {
            if (action < 5) {
                bench.submit("workspace-" + action, Urgency.leastUrgentFirst().get(action % 3), 200 + 400L * action);
                submitted++;
            } else if (action < 8 && !bench.grants.isEmpty()) {
                bench.completeOldest();
                completed++;
            } else {
                bench.nowMs += 37;
                bench.scheduler.processQueue();
            }
            for (Endpoint endpoint : bench.pool.endpoints()) {
                assertThat(bench.scheduler.inFlight(endpoint.address())).isAtMost(LIMIT);
            }
        }
        int settled = completed + bench.grants.size() + bench.refusals.size() + bench.scheduler.queueLength();
        assertWithMessage("settled or waiting").that(settled).isEqualTo(submitted);
    }
}
