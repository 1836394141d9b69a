package org.pimentovale.kernel.directory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointWaitTest {
    private static final long GOAL_MS = 400;

    private static EndpointWait decide(OptionalLong returnMs, long waitedMs, long remainingMs) {
        return EndpointWait.decide(returnMs, 0, waitedMs, GOAL_MS, remainingMs, 100);
    }

    @Nested
    class WithAKnownReturn {
        @Test
        void waitsIfTheRequestCanStillBeServed() {
            assertThat(decide(OptionalLong.of(900), 500, 1_000)).isEqualTo(new EndpointWait(true, 100));
            assertThat(decide(OptionalLong.of(30), 500, 1_000)).isEqualTo(new EndpointWait(true, 30));
        }

        @Test
        void refusesAtOnceIfTheRequestCannotBeServedInTime() {
            assertThat(decide(OptionalLong.of(901), 0, 1_000)).isEqualTo(new EndpointWait(false, 901));
        }
    }

    @Nested
    class WithoutAKnownReturn {
        @Test
        void waitsForAPartOfTheGoal() {
            assertThat(decide(OptionalLong.empty(), 49, 1_000).waits()).isTrue();
            assertThat(decide(OptionalLong.empty(), 50, 1_000)).isEqualTo(new EndpointWait(false, 300));
        }

        @Test
        void namesTheDelayOfARateLimit() {
            assertThat(EndpointWait.decide(OptionalLong.empty(), 700, 50, GOAL_MS, 1_000, 100))
                    .isEqualTo(new EndpointWait(false, 700));
        }
    }

    /**
     * Plays callers that arrive evenly while all endpoints of a service refuse requests, and counts how many are served
     * before their deadlines. A refused caller comes back once, after the named delay or a third of its time.
     */
    @Nested
    class UnderABurstThatAllEndpointsRefuse {
        private static final long RETURN_MS = 2_000;
        private static final long ARRIVAL_INTERVAL_MS = 5;
        private static final long END_MS = 6_000;
        private static final long SERVICE_MS = 10;

        private record Caller(long timeMs, long deadlineMs, boolean cameBack) {}

        private interface Policy {
            boolean waits(long returnMs, long remainingMs);
        }

        private int served(Policy policy, long patienceMs) {
            PriorityQueue<Caller> arrivals = new PriorityQueue<>(Comparator.comparingLong(Caller::timeMs));
            for (long timeMs = 0; timeMs < RETURN_MS; timeMs += ARRIVAL_INTERVAL_MS) {
                arrivals.add(new Caller(timeMs, timeMs + patienceMs, false));
            }
            Deque<Caller> waiting = new ArrayDeque<>();
            List<Caller> served = new ArrayList<>();
            for (long nowMs = 0; nowMs < END_MS; nowMs++) {
                while (!arrivals.isEmpty() && arrivals.peek().timeMs() <= nowMs) {
                    admit(arrivals.poll(), policy, nowMs, waiting, arrivals);
                }
                if (nowMs >= RETURN_MS && nowMs % SERVICE_MS == 0) {
                    long endMs = nowMs + SERVICE_MS;
                    waiting.removeIf(caller -> caller.deadlineMs() < endMs);
                    if (!waiting.isEmpty()) {
                        served.add(waiting.poll());
                    }
                }
            }
            return served.size();
        }

        private void admit(
                Caller caller, Policy policy, long nowMs, Deque<Caller> waiting, PriorityQueue<Caller> arrivals) {
            long returnMs = RETURN_MS - nowMs;
            long remainingMs = caller.deadlineMs() - nowMs;
            if (returnMs <= 0 || policy.waits(returnMs, remainingMs)) {
                waiting.add(caller);
            } else if (!caller.cameBack()) {
                long backMs = nowMs + Math.min(returnMs, remainingMs / 3);
                arrivals.add(new Caller(backMs, caller.deadlineMs(), true));
            }
        }

        private boolean decide(long returnMs, long remainingMs) {
            return EndpointWait.decide(OptionalLong.of(returnMs), 0, 0, GOAL_MS, remainingMs, SERVICE_MS)
                    .waits();
        }

        @Test
        void moreCallersAreServedThanIfTheyWereRefused() {
            for (long patienceMs : List.of(1_000L, 1_500L, 3_000L)) {
                int waited = served(this::decide, patienceMs);
                int refused = served((returnMs, remainingMs) -> false, patienceMs);
                int shortWait = served((returnMs, remainingMs) -> returnMs <= GOAL_MS / 8, patienceMs);

                assertThat(waited).isAtLeast(refused);
                assertThat(waited).isAtLeast(shortWait);
            }
            assertThat(served(this::decide, 3_000L)).isGreaterThan(served((returnMs, remainingMs) -> false, 3_000L));
        }
    }
}
