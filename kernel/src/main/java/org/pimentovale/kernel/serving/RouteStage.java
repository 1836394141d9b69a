package org.pimentovale.kernel.serving;

import java.util.List;

/**
 * Work that has to be done before a request can run.
 *
 * @param number the stage's place in its route, from zero
 * @param service the service whose endpoints do the work
 * @param after the stages whose results it needs
 * @param resultBytes the approximate size of the result of one piece
 */
public record RouteStage(int number, String service, List<Integer> after, long resultBytes) {
    /** Copies the list. */
    public RouteStage {
        after = List.copyOf(after);
    }
}
