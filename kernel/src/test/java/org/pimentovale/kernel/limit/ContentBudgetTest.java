package org.pimentovale.kernel.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against large objects that take the memory of small ones, and against a sum beyond the capacity. */
class ContentBudgetTest {
    private static final long CAPACITY_BYTES = 10_000;

    private final ContentBudget budget = new ContentBudget(CAPACITY_BYTES);

    private long keptBytes(List<Integer> lengths) {
        int longestKept = budget.longestKept(lengths);
        return lengths.stream()
                .filter(length -> length <= longestKept)
                .mapToLong(Integer::longValue)
                .sum();
    }

    @Test
    void smallObjectsKeepTheirContentBesideAnyNumberOfLargeOnes() {
        List<Integer> lengths = new ArrayList<>(List.of(300, 400, 500));
        for (int number = 0; number < 1_000; number++) {
            lengths.add(4_000);
        }

        assertThat(budget.longestKept(lengths)).isEqualTo(500);
    }

    @Test
    void whatIsKeptFitsTheCapacityForAnyLengths() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 1_000; round++) {
            List<Integer> lengths =
                    random.ints(random.nextInt(1, 60), 0, 5_000).boxed().toList();

            assertThat(keptBytes(lengths)).isAtMost(CAPACITY_BYTES);
        }
    }

    @Test
    void allIsKeptThatFits() {
        assertThat(budget.longestKept(List.of(5_000, 5_000))).isEqualTo(5_000);
        assertThat(budget.longestKept(List.of(5_000, 5_001))).isEqualTo(5_000);
        assertThat(budget.longestKept(List.of(10_001))).isEqualTo(0);
    }
}
