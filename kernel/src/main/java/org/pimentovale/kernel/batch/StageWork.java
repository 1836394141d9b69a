package org.pimentovale.kernel.batch;

import java.util.List;
import java.util.Optional;

/**
 * One stage of one request, as it is handed to the owner of the stage's service.
 *
 * @param requestId the request's identifier
 * @param service the stage's service
 * @param stage the stage's number
 * @param pieces the number of pieces
 * @param sourceKey names what a stage without predecessors works on
 * @param inputs results that each piece takes
 * @param resultBytes the approximate size of the result of a piece
 * @param goalLeftMs time until the stage should end, for the request to meet its goal
 * @param leftMs time until the results are of no use
 * @param priority the request's rank, zero for the most urgent
 * @param zone the availability zone in which the results are preferred
 */
public record StageWork(
        String requestId,
        String service,
        int stage,
        int pieces,
        Optional<String> sourceKey,
        List<String> inputs,
        long resultBytes,
        long goalLeftMs,
        long leftMs,
        int priority,
        Optional<String> zone) {
    /** Copies the list. */
    public StageWork {
        inputs = List.copyOf(inputs);
    }
}
