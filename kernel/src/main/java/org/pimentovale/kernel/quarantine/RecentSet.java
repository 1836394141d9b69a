package org.pimentovale.kernel.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A set of the most recently added texts, up to a capacity. Not thread safe. */
final class RecentSet {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Boolean> entries;

    RecentSet(int capacity) {
        entries = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    void add(String text) {
        entries.put(text, true);
    }

    boolean contains(String text) {
        return entries.containsKey(text);
    }
}
