package org.pimentovale.kernel.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that probably have the prefix of a prompt in their cache, judging by this instance's own grants.
 *
 * <p>Invariant: holds at most the given number of prefixes; the least recently used one is evicted first. Not thread
 * safe; guarded by the scheduler's lock.
 */
public final class PrefixTable {
    private final LinkedHashMap<Long, Set<String>> addressesByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final int capacity;

    /**
     * Creates an empty table.
     *
     * @param capacity maximum number of prefixes
     */
    public PrefixTable(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Tells whether an endpoint probably has a prefix in its cache.
     *
     * @param prefix hash of the prefix, zero for none
     * @param address the endpoint's host and port
     * @return whether the prefix is recorded for the endpoint; false for zero
     */
    public boolean holds(long prefix, String address) {
        Set<String> addresses = prefix == 0 ? null : addressesByPrefix.get(prefix);
        return addresses != null && addresses.contains(address);
    }

    /**
     * Records that an endpoint computes a prefix and will have it in its cache.
     *
     * @param prefix hash of the prefix; zero is ignored
     * @param address the endpoint's host and port
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
     * Removes an endpoint from all prefixes, since its cache is lost.
     *
     * @param address the endpoint's host and port
     */
    public void removeAddress(String address) {
        for (Map.Entry<Long, Set<String>> entry : addressesByPrefix.entrySet()) {
            entry.getValue().remove(address);
        }
    }
}
