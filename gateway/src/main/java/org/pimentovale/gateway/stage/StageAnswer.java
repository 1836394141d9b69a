package org.pimentovale.gateway.stage;

import java.util.List;

/**
 * The results of a stage, as the owner of its service hands them to the gateway that asked.
 *
 * @param handles one result a piece, in order
 */
public record StageAnswer(List<String> handles) {
    /** Copies the list. */
    public StageAnswer {
        handles = List.copyOf(handles);
    }
}
