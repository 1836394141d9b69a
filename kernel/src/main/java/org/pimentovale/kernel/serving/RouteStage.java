package org.pimentovale.kernel.serving;

import java.util.List;

/**
 * A stage of a route, which has to finish before the final service can run.
 *
 * @param number the number of the stage within its route, from zero
 * @param service the name of the service that runs the stage
 * @param after the numbers of the stages whose results are its inputs
 * @param resultBytes the approximate result size of one piece, in bytes
 */
public record RouteStage(int number, String service, List<Integer> after, long resultBytes) {
    /** Creates a stage with a copy of the list. */
    public RouteStage {
        after = List.copyOf(after);
    }
}
