package org.pimentovale.gateway.feed;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pimentovale.gateway.port.ObjectChanges;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.gateway.port.ObjectKind;
import org.pimentovale.gateway.port.ObjectPage;
import org.pimentovale.gateway.port.StoredContent;
import org.pimentovale.kernel.history.ObjectHistory;
import org.pimentovale.kernel.history.StoreRevision;
import org.pimentovale.kernel.limit.ContentBudget;

/** Guards against objects of other writers whose content takes the memory of the process when all is added up. */
class ContentMemoryTest {
    private static final StoreRevision REVISION = new StoreRevision(0, 1);
    private static final ContentBudget BUDGET = new ContentBudget(100);

    private static ObjectEntry entry(String name, int bytes) {
        byte[] text = ("\"" + "x".repeat(bytes - 2) + "\"").getBytes(StandardCharsets.UTF_8);
        return new ObjectEntry(name, REVISION, Optional.empty(), StoredContent.ofText(text));
    }

    @Nested
    class AListInPages {
        private final PartialList listed = new PartialList(BUDGET);

        private boolean add(ObjectEntry... entries) {
            return listed.add(new ObjectPage(List.of(entries), true, REVISION), entry -> false);
        }

        @Test
        void keepsSmallContentsBesideLargeOnes() {
            add(entry("large-1", 80), entry("small-1", 10));
            add(entry("large-2", 80), entry("small-2", 10));
            add(entry("large-3", 80), entry("small-3", 10));

            assertThat(listed.entries().stream()
                            .filter(entry -> !entry.value().isRejected())
                            .map(ObjectEntry::name))
                    .containsExactly("small-1", "small-2", "small-3");
            assertThat(listed.entries()).hasSize(6);
            assertThat(listed.droppedContents()).isEqualTo(3);
        }

        @Test
        void goesOnAfterItsLastEntry() {
            add(entry("large-1", 80), entry("large-2", 80));

            assertThat(listed.lastName()).hasValue("large-2");
        }
    }

    @Nested
    class ObjectsInForce {
        private final BudgetedEntries objects = new BudgetedEntries(BUDGET);

        private boolean keeps(String name) {
            return !objects.get(name).orElseThrow().value().isRejected();
        }

        @Test
        void loseTheLongestContents() {
            objects.put(entry("small", 10));
            objects.put(entry("large", 95));

            assertThat(keeps("small")).isTrue();
            assertThat(keeps("large")).isFalse();
        }

        @Test
        void leaveTheirMemoryWhenTheyChangeOrGo() {
            for (int round = 0; round < 10; round++) {
                objects.put(entry("changed", 90));
                objects.remove("changed");
                objects.put(entry("kept", 90));
            }

            assertThat(keeps("kept")).isTrue();
        }
    }

    /** Guards against tables that grow with each change, although the content of the objects is within its budget. */
    @Nested
    class Changes {
        private final ObjectHistory history = new ObjectHistory(0);
        private final List<String> received = new ArrayList<>();
        private final FeedObjects objects = new FeedObjects(
                ObjectKind.ENDPOINTS,
                history,
                new RecordingListener(),
                () -> 0,
                new FeedLog(Logger.getLogger(ContentMemoryTest.class), ObjectKind.ENDPOINTS),
                BUDGET);

        private final class RecordingListener implements FeedListener {
            @Override
            public void listed(List<ObjectEntry> entries, Set<String> retained) {}

            @Override
            public void changed(ObjectEntry entry) {
                received.add(entry.name() + (entry.value().isRejected() ? " without content" : ""));
            }

            @Override
            public void removed(ObjectEntry entry) {}
        }

        private void change(ObjectEntry entry) {
            objects.apply(new ObjectChanges.Change(entry, false));
        }

        @Test
        void passOnWhichObjectsAreInForceWithoutTheirContent() {
            history.acceptList(new StoreRevision(0, 0), List.of(), 0);
            change(entry("small", 10));
            change(entry("large", 80));
            change(entry("larger", 90));
            change(entry("other", 30));

            assertThat(received)
                    .containsExactly("small", "large", "larger without content", "other", "large without content")
                    .inOrder();
        }
    }
}
