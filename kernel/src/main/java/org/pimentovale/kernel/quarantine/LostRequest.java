package org.pimentovale.kernel.quarantine;

import java.util.List;

/**
 * A request whose answer an endpoint had not continued beyond its beginning when the endpoint was lost.
 *
 * @param fingerprint identifies the request across all its attempts
 * @param sharedParts the identifiers of the prompt parts that other requests may share, in the order of the prompt
 */
public record LostRequest(String fingerprint, List<String> sharedParts) {
    /** Copies the list. */
    public LostRequest {
        sharedParts = List.copyOf(sharedParts);
    }
}
