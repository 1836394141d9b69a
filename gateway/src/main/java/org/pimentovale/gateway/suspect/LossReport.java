package org.pimentovale.gateway.suspect;

import java.util.List;
import org.pimentovale.kernel.quarantine.LostRequest;

/**
 * A message between gateways about an endpoint that was lost.
 *
 * @param incarnation identifies the endpoint and its start
 * @param requests the requests that the endpoint had not begun to answer
 */
public record LossReport(String incarnation, List<LostRequest> requests) {
    /** Copies the list. */
    public LossReport {
        requests = List.copyOf(requests);
    }
}
