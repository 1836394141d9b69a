package org.pimentovale.kernel.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where the prefixes of prompts are believed to be cached, from own dispatches and from the endpoints' late events.
 *
 * <p>Invariant: holds at most the given number of prefixes; the least recently used go first. Not thread safe; guarded
 * by the scheduler's lock.
 */
public final class PrefixTable {
    private final LinkedHashMap<Long, Set<String>> addressesByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final int capacity;

    /**
     * Creates a table.
     *
     * @param capacity the largest number of prefixes
     */
    public PrefixTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Tells whether an endpoint is believed to hold a prefix.
     *
     * @param prefix the hash of the prefix, zero for none
     * @param address the endpoint
     * @return whether it does
     */
    public boolean holds(long prefix, String address) {
        Set<String> addresses = prefix == 0 ? null : addressesByPrefix.get(prefix);
        return addresses != null && addresses.contains(address);
    }

    /**
     * Records that an endpoint has computed a prefix.
     *
     * @param prefix the hash of the prefix, zero for none
     * @param address the endpoint
     */
    public void add(long prefix, String address) {
        if (prefix == 0) {
            return;
        }
        addressesByPrefix.computeIfAbsent(prefix, unused -> new TreeSet<>()).add(address);
        while (addressesByPrefix.size() > capacity) {
            addressesByPrefix.remove(addressesByPrefix.keySet().iterator().next());
        }
    }

    /**
     * Forgets everything about an endpoint, whose memory is gone.
     *
     * @param address the endpoint
     */
    public void removeAddress(String address) {
        for (Map.Entry<Long, Set<String>> entry : addressesByPrefix.entrySet()) {
            entry.getValue().remove(address);
        }
    }
}
