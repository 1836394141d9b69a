package org.pimentovale.gateway.stage;

import java.util.List;

/**
 * The results of a stage, sent by the owner of its service to the gateway that submitted it.
 *
 * @param handles the handles of the results, one per piece, in the order of the pieces
 */
public record StageResponse(List<String> handles) {
    /** Copies the list. */
    public StageResponse {
        handles = List.copyOf(handles);
    }
}
