package org.pimentovale.gateway.stage;

import java.util.List;

/**
 * Results that nobody needs any more.
 *
 * @param service the service that made them
 * @param handles the results
 */
public record StageRelease(String service, List<String> handles) {
    /** Copies the list. */
    public StageRelease {
        handles = List.copyOf(handles);
    }
}
