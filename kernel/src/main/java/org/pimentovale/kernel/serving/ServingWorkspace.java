package org.pimentovale.kernel.serving;

import java.util.List;
import java.util.OptionalInt;

/**
 * A workspace and the API keys of its callers.
 *
 * @param name the workspace's name
 * @param keys the API keys that identify its callers
 * @param priority the priority of its requests, zero for the most urgent; overrides the route's priority
 */
public record ServingWorkspace(String name, List<String> keys, OptionalInt priority) {
    /** Creates a workspace with a copy of the list. */
    public ServingWorkspace {
        keys = List.copyOf(keys);
    }
}
