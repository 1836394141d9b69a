package org.pimentovale.kernel.serving;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and the keys of its callers.
 *
 * @param name the workspace's name
 * @param keys the keys
 * @param priority its rank, zero for the most urgent, which goes before a route's
 */
public record ServingWorkspace(String name, List<String> keys, OptionalInt priority) {
    /** Copies the list. */
    public ServingWorkspace {
        keys = List.copyOf(keys);
    }
}
