package org.pimentovale.kernel.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {
    private static final long WINDOW_MS = 10_000;

    private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 56, WINDOW_MS);

    private int takeAll(int instances, long nowMs) {
        int taken = 0;
        while (budget.tryTakeRetry(instances, nowMs)) {
            taken++;
        }
        return taken;
    }

    @Test
    void givesEachInstanceItsPartOfTheSlack() {
        assertThat(takeAll(8, 0)).isEqualTo(7);
    }

    @Test
    void addsTheRatioOfOwnFirstSends() {
        for (int send = 0; send < 50; send++) {
            budget.recordFirstAttempt(0);
        }

        assertThat(takeAll(8, 0)).isEqualTo(17);
    }

    @Test
    void forgetsWhatIsOlderThanTheWindow() {
        takeAll(8, 0);

        assertThat(takeAll(8, WINDOW_MS - 1)).isEqualTo(0);
        assertThat(takeAll(8, WINDOW_MS)).isEqualTo(7);
    }
}
