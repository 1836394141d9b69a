package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.kernel.limit.ContentBudget;

/**
 * Objects of a kind by their names, with their content as far as a budget allows: the longest contents go first.
 *
 * <p>Invariants: each name occurs once; all content fits the budget. Not thread safe; used on one event loop.
 */
final class BudgetedEntries {
    private final ContentBudget budget;
    private final Map<String, ObjectEntry> entries = new LinkedHashMap<>();
    private long contentBytes;
    private int droppedContents;

    /**
     * Creates an empty set of objects.
     *
     * @param budget the memory for their content
     */
    BudgetedEntries(ContentBudget budget) {
        this.budget = budget;
    }

    Optional<ObjectEntry> get(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    List<ObjectEntry> all() {
        return List.copyOf(entries.values());
    }

    /** Returns how often an object lost its content for want of memory. */
    int droppedContents() {
        return droppedContents;
    }

    void put(ObjectEntry entry) {
        remove(entry.name());
        entries.put(entry.name(), entry);
        contentBytes += entry.value().bytes();
        if (budget.isExceededBy(contentBytes)) {
            dropLongestContents();
        }
    }

    /** Removes an object; returns what it was. */
    Optional<ObjectEntry> remove(String name) {
        Optional<ObjectEntry> removed = Optional.ofNullable(entries.remove(name));
        removed.ifPresent(entry -> contentBytes -= entry.value().bytes());
        return removed;
    }

    void retainAll(Set<String> names) {
        List<String> others = new ArrayList<>(entries.keySet());
        others.removeAll(names);
        others.forEach(this::remove);
    }

    private void dropLongestContents() {
        int longestKept = budget.longestKept(
                entries.values().stream().map(entry -> entry.value().bytes()).toList());
        for (ObjectEntry entry : all()) {
            if (entry.value().bytes() > longestKept) {
                entries.put(entry.name(), entry.withoutContent());
                contentBytes -= entry.value().bytes();
                droppedContents++;
            }
        }
    }
}
