package org.pimentovale.kernel.membership;

import java.nio.charset.StandardCharsets;

/** Rendezvous (highest random weight) hashing of keys to nodes. Stateless and thread safe. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the weight of a node for a key: FNV-1a over both, followed by the finalizer of MurmurHash3.
     *
     * @param key the key
     * @param node the node's name
     * @return the weight; the node with the greatest weight is preferred
     */
    public static long weight(String key, String node) {
        long hash = 0xcbf29ce484222325L;
        for (byte octet : (key + "/" + node).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    /**
     * Returns a number that is determined by a key and a node and evenly distributed over them.
     *
     * @param key the key
     * @param node the node's name
     * @return a number between 0 and 1, both excluded; it grows with the weight as an unsigned number
     */
    public static double uniform(String key, String node) {
        return ((weight(key, node) >>> 11) + 0.5) * 0x1.0p-53;
    }
}
