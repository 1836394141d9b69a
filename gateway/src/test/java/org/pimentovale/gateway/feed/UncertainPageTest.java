package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.StoredContent;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.limit.ContentBudget;

/** Guards against lists that take objects from the bytes of one that cannot be read, or that skip others. */
class UncertainPageTest {
    private final PartialList listed = new PartialList(ContentBudget.UNLIMITED);

    private static ObjectEntry entry(String name, long revision) {
        return new ObjectEntry(name, new StoreRevision(0, revision), Optional.empty(), StoredContent.EMPTY);
    }

    private void add(boolean certain, Set<String> known, ObjectEntry... entries) {
        ObjectPage page = new ObjectPage(List.of(entries), true, new StoreRevision(0, 9), certain);
        assertThat(listed.add(page, entry -> known.contains(entry.name()))).isTrue();
    }

    private List<String> names() {
        return listed.entries().stream().map(ObjectEntry::name).toList();
    }

    @Nested
    class OnAnUncertainPage {
        @Test
        void onlyTheFirstObjectCountsIfNoneIsKnown() {
            add(false, Set.of(), entry("a", 1), entry("b", 2), entry("c", 3));

            assertThat(names()).containsExactly("a");
            assertThat(listed.lastName()).hasValue("a");
        }

        @Test
        void objectsCountUpToTheFirstThatIsNotKnown() {
            add(false, Set.of("a", "b", "d"), entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4));

            assertThat(names()).containsExactly("a", "b", "c").inOrder();
            assertThat(listed.lastName()).hasValue("c");
        }
    }

    @Nested
    class OfTwoEntriesWithTheSameName {
        @Test
        void theLaterWriteCounts() {
            add(true, Set.of(), entry("a", 5), entry("b", 2));
            add(true, Set.of(), entry("a", 4), entry("b", 6));

            assertThat(listed.entries().stream()
                            .map(entry -> entry.name() + entry.revision().revision()))
                    .containsExactly("a5", "b6");
        }
    }
}
