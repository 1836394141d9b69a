package org.pimentovale.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class EventBudgetTest {
    private final EventBudget budget = new EventBudget(2);

    @Test
    void grantsEachEventItsLines() {
        assertThat(budget.request("sent", 0)).isEqualTo(0);
        assertThat(budget.request("sent", 1)).isEqualTo(0);
        assertThat(budget.request("sent", 2)).isLessThan(0);
        assertThat(budget.request("ended", 2)).isEqualTo(0);
    }

    @Test
    void tellsHowManyLinesWereLeftOut() {
        budget.request("sent", 0);
        budget.request("sent", 0);
        budget.request("sent", 0);
        budget.request("sent", 999);

        assertThat(budget.request("sent", 1_000)).isEqualTo(2);
        assertThat(budget.request("sent", 1_001)).isEqualTo(0);
    }
}
