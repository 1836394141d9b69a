package org.pimentovale.gateway.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pimentovale.gateway.port.ObjectEntry;
import org.pimentovale.kernel.limit.ContentBudget;

/**
 * The objects of a kind that are in force, with their content as far as a budget allows.
 *
 * <p>Their content is needed only after a restore of the store, to tell other gateways of it. Invariant: all content
 * fits the budget. Not thread safe; used on one event loop.
 */
final class RetainedObjects {
    private final ContentBudget budget;
    private final Map<String, ObjectEntry> entries = new HashMap<>();
    private long contentBytes;

    /**
     * Creates an empty set of objects.
     *
     * @param budget the memory for their content
     */
    RetainedObjects(ContentBudget budget) {
        this.budget = budget;
    }

    Optional<ObjectEntry> get(String name) {
        return Optional.ofNullable(entries.get(name));
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
        entries.replaceAll((name, entry) -> entry.value().bytes() > longestKept ? entry.withoutContent() : entry);
        contentBytes = entries.values().stream()
                .mapToLong(entry -> entry.value().bytes())
                .sum();
    }
}
