package org.pimentovale.kernel.history;

import java.util.Set;

/**
 * The decision on a complete list of a kind's objects. An object that was known and is in none of the sets is removed.
 *
 * @param accepted the names of the listed objects whose listed state is believed
 * @param retained the names of the objects whose previous state stays in force, although the store lists an older state
 *     or none
 * @param reappeared the names of the listed objects that stay removed
 */
public record ListVerdict(Set<String> accepted, Set<String> retained, Set<String> reappeared) {
    /** Copies the sets. */
    public ListVerdict {
        accepted = Set.copyOf(accepted);
        retained = Set.copyOf(retained);
        reappeared = Set.copyOf(reappeared);
    }
}
