package org.pimentovale.gateway.stage;

import java.util.List;

/**
 * The results of a stage, as the owner of its service hands them to the gateway that asked.
 *
 * @param handles one result a piece, in order
 */
public record StageResponse(List<String> handles) {
    /** Copies the list. */
    public StageResponse {
        handles = List.copyOf(handles);
    }
}
