package org.pimentovale.kernel.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the retries of all instances together stay within the slack while endpoints refuse everything, so that
 * each instance takes every retry it is granted, and a part of the instances is stopped and started one by one.
 */
class RetryBudgetFleetTest {
    private static final long WINDOW_MS = 10_000;
    private static final long STEP_MS = 50;
    private static final long END_MS = 60_000;
    private static final long FIRST_STOP_MS = 21_000;
    private static final long DOWN_MS = 1_500;

    /** One instance, which shares the budget as the gateway does. */
    private static final class Instance {
        private final RecentMaximum instanceCounts = new RecentMaximum(2 * WINDOW_MS);
        private final WindowedRetryBudget budget;

        Instance(double slack, long startedMs) {
            budget = new WindowedRetryBudget(0.2, slack, WINDOW_MS, startedMs);
        }

        int takeAll(int listed, long nowMs) {
            instanceCounts.observe(listed, nowMs);
            int taken = 0;
            while (budget.tryTakeRetry(instanceCounts.get(nowMs), nowMs)) {
                taken++;
            }
            return taken;
        }
    }

    private static int greatestSum(int instances, double slack, double stoppedShare, long stopIntervalMs) {
        List<Instance> fleet = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            fleet.add(new Instance(slack, 0));
        }
        List<Integer> retries = new ArrayList<>();
        int stopped = (int) Math.round(instances * stoppedShare);
        for (long nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
            int sum = 0;
            int down = 0;
            for (int number = 0; number < instances; number++) {
                long stopMs = number < stopped ? FIRST_STOP_MS + number * stopIntervalMs : END_MS;
                down += nowMs >= stopMs && nowMs < stopMs + DOWN_MS ? 1 : 0;
            }
            for (int number = 0; number < instances; number++) {
                long stopMs = number < stopped ? FIRST_STOP_MS + number * stopIntervalMs : END_MS;
                if (nowMs == stopMs + DOWN_MS) {
                    fleet.set(number, new Instance(slack, nowMs));
                }
                boolean running = nowMs < stopMs || nowMs >= stopMs + DOWN_MS;
                sum += running ? fleet.get(number).takeAll(instances - down, nowMs) : 0;
            }
            retries.add(sum);
        }
        return greatestWindow(retries);
    }

    private static int greatestWindow(List<Integer> retries) {
        int steps = (int) (WINDOW_MS / STEP_MS);
        int greatest = 0;
        for (int first = 0; first < retries.size(); first++) {
            int sum = retries.subList(first, Math.min(retries.size(), first + steps)).stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            greatest = Math.max(greatest, sum);
        }
        return greatest;
    }

    @Nested
    class TheSumOfAllInstances {
        @Test
        void holdsWhileFourTenthsOfEightAreRestarted() {
            assertThat(greatestSum(8, 56, 0.4, 1_000)).isAtMost(56);
            assertThat(greatestSum(8, 56, 0.4, 3_000)).isAtMost(56);
        }

        @Test
        void holdsWhileAllOfNinetyFiveAreRestarted() {
            assertThat(greatestSum(95, 230, 1, 100)).isAtMost(230);
            assertThat(greatestSum(95, 230, 0.4, 200)).isAtMost(230);
        }

        @Test
        void leavesMostOfTheSlackToInstancesThatRunForLong() {
            assertThat(greatestSum(8, 56, 0, 1)).isAtLeast(40);
            assertThat(greatestSum(95, 230, 0, 1)).isAtLeast(95);
        }
    }
}
