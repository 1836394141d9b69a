package org.pimentovale.kernel.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Set;

/**
 * The fingerprints of requests that were running on endpoints when these were lost, and which may have caused the loss.
 *
 * <p>Invariant: a fingerprint that reaches the quarantine threshold stays quarantined until it is evicted. When the
 * capacity is exceeded, the oldest fingerprint is evicted. Thread safe; no other lock is acquired while its lock is
 * held.
 */
public final class SuspectTable {
    private final LinkedHashMap<String, Set<String>> lostEndpoints = new LinkedHashMap<>();
    private final int capacity;
    private final int quarantineThreshold;

    /**
     * Creates an empty table.
     *
     * @param capacity the maximum number of fingerprints
     * @param quarantineThreshold the number of distinct lost endpoints from which a request is quarantined
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
     * @return true if the loss of this endpoint was not recorded before for the request
     */
    public synchronized boolean recordLoss(String fingerprint, String endpoint) {
        boolean added = lostEndpoints
                .computeIfAbsent(fingerprint, unused -> new HashSet<>())
                .add(endpoint);
        while (lostEndpoints.size() > capacity) {
            lostEndpoints.remove(lostEndpoints.keySet().iterator().next());
        }
        return added;
    }

    /**
     * Discards the losses recorded for a request after a complete response, unless it is quarantined.
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
     * Returns how a request may run, according to the recorded losses.
     *
     * @param fingerprint the request's fingerprint
     * @return the verdict, {@link SuspectVerdict#CLEAR} if no loss is recorded
     */
    public synchronized SuspectVerdict verdict(String fingerprint) {
        int lost = lostEndpoints.getOrDefault(fingerprint, Set.of()).size();
        if (lost == 0) {
            return SuspectVerdict.CLEAR;
        }
        return lost < quarantineThreshold ? SuspectVerdict.RUN_ALONE : SuspectVerdict.QUARANTINED;
    }
}
