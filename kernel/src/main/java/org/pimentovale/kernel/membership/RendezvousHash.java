package org.pimentovale.kernel.membership;

import java.nio.charset.StandardCharsets;

/** Highest-random-weight hashing of duties to members. Stateless and thread safe. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the weight of a member for a duty: FNV-1a over both names, finished by the mixing steps of MurmurHash3.
     *
     * @param key the duty's name
     * @param node the member's name
     * @return the weight; the member with the greatest one is preferred
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
}
