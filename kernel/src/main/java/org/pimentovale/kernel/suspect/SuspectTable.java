package org.pimentovale.kernel.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * Fingerprints of requests that were running on endpoints when these were lost.
 *
 * <p>Invariant: a fingerprint with as many lost endpoints as make a quarantine never leaves it before
 * it is forgotten by capacity. Thread safe; its lock is a leaf.
 */
public final class SuspectTable {
    private final LinkedHashMap<String, Set<String>> lostEndpoints = new LinkedHashMap<>();
    private final int capacity;
    private final int quarantineThreshold;

    /**
     * Creates an empty table.
     *
     * @param capacity the largest number of fingerprints
     * @param quarantineThreshold lost endpoints after which a request is not run again
     */
    public SuspectTable(int capacity, int quarantineThreshold) {
        this.capacity = capacity;
        this.quarantineThreshold = quarantineThreshold;
    }

    /**
     * Records that an endpoint was lost while a request ran on it.
     *
     * @param fingerprint the request's fingerprint
     * @param endpoint address and incarnation of the endpoint
     * @return whether this loss was unknown
     */
    public synchronized boolean recordLoss(String fingerprint, String endpoint) {
        boolean added =
                lostEndpoints.computeIfAbsent(fingerprint, unused -> new HashSet<>()).add(endpoint);
        while (lostEndpoints.size() > capacity) {
            lostEndpoints.remove(lostEndpoints.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Clears a request that has been answered in full.
     *
     * @param fingerprint the request's fingerprint
     */
    public synchronized void clear(String fingerprint) {
        Set<String> endpoints = lostEndpoints.get(fingerprint);
        if (endpoints != null && endpoints.size() < quarantineThreshold) {
            lostEndpoints.remove(fingerprint);
        }
    }

    /**
     * Returns how far a request is suspected.
     *
     * @param fingerprint the request's fingerprint
     * @return the verdict
     */
    public synchronized SuspectVerdict verdict(String fingerprint) {
        int lost = lostEndpoints.getOrDefault(fingerprint, Set.of()).size();
        if (lost == 0) {
            return SuspectVerdict.CLEAR;
        }
        return lost < quarantineThreshold ? SuspectVerdict.RUN_ALONE : SuspectVerdict.QUARANTINED;
    }
}
