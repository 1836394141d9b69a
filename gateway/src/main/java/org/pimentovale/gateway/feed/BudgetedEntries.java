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

    /**
     * Adds or replaces an object.
     *
     * @return the objects that lost their content for want of memory, without it; the new one may be among them
     */
    List<ObjectEntry> put(ObjectEntry entry) {
        remove(entry.name());
        entries.put(entry.name(), entry);
        contentBytes += entry.value().bytes();
        return budget.isExceededBy(contentBytes) ? dropLongestContents() : List.of();
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

    private List<ObjectEntry> dropLongestContents() {
        int longestKept = budget.longestKept(
                entries.values().stream().map(entry -> entry.value().bytes()).toList());
        List<ObjectEntry> dropped = entries.values().stream()
                .filter(entry -> entry.value().bytes() > longestKept)
                .map(ObjectEntry::withoutContent)
                .toList();
        dropped.forEach(entry -> entries.put(entry.name(), entry));
        contentBytes = entries.values().stream()
                .mapToLong(entry -> entry.value().bytes())
                .sum();
        return dropped;
    }
}
