package org.pimentovale.table;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TablesMergeTest {
    private static Tables tables(Map<String, Integer> deadlines) {
        List<Route> routes = new ArrayList<>();
        deadlines.forEach((kind, deadlineMs) -> routes.add(new Route(kind, deadlineMs, Urgency.URGENT, List.of())));
        return new Tables(routes, List.of());
    }

    private static Map<String, Integer> changed(Map<String, Integer> base, List<Integer> changes) {
        Map<String, Integer> result = new TreeMap<>(base);
        for (int change : changes) {
            String kind = "kind-" + change % 5;
            if (change % 3 == 0) {
                result.remove(kind);
            } else {
                result.put(kind, 100 + change);
            }
        }
        return result;
    }

    @Property(tries = 500, seed = "42")
    void disjointChangesAreBothKeptAndOthersConflictByName(
            @ForAll @Size(max = 3) List<@IntRange(min = 0, max = 29) Integer> mine,
            @ForAll @Size(max = 3) List<@IntRange(min = 0, max = 29) Integer> theirs) {
        Map<String, Integer> base = Map.of("kind-0", 1, "kind-1", 1, "kind-2", 1);
        Map<String, Integer> myDeadlines = changed(base, mine);
        Map<String, Integer> theirDeadlines = changed(base, theirs);
        TablesMerge.Result result = TablesMerge.merge(tables(base), tables(myDeadlines), tables(theirDeadlines));
        for (int number = 0; number < 5; number++) {
            String kind = "kind-" + number;
            Integer baseDeadlineMs = base.get(kind);
            Integer myDeadlineMs = myDeadlines.get(kind);
            Integer theirDeadlineMs = theirDeadlines.get(kind);
            boolean conflict = !java.util.Objects.equals(myDeadlineMs, baseDeadlineMs)
                    && !java.util.Objects.equals(theirDeadlineMs, baseDeadlineMs)
                    && !java.util.Objects.equals(myDeadlineMs, theirDeadlineMs);
            assertThat(result.conflicts().contains("route " + kind)).isEqualTo(conflict);
            if (!conflict) {
                Integer expected =
                        java.util.Objects.equals(myDeadlineMs, baseDeadlineMs) ? theirDeadlineMs : myDeadlineMs;
                assertThat(result.tables().route(kind).map(Route::deadlineMs))
                        .isEqualTo(java.util.Optional.ofNullable(expected));
            }
        }
    }
}
