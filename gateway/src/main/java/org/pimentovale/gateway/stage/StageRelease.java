package org.pimentovale.gateway.stage;

import java.util.List;

/**
 * A request to release results that are no longer needed.
 *
 * @param service the service that created the results
 * @param handles the handles of the results
 */
public record StageRelease(String service, List<String> handles) {
    /** Copies the list. */
    public StageRelease {
        handles = List.copyOf(handles);
    }
}
