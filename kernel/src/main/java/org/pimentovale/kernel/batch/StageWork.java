package org.pimentovale.kernel.batch;

import java.util.List;
import java.util.Optional;

/**
 * The work of one stage of one request, as submitted to the instance that owns the queue of the stage's service. It is
 * sent to other instances as JSON, so the component names are part of the protocol.
 *
 * @param requestId the request's identifier
 * @param service the stage's service
 * @param stage the stage's number
 * @param pieces the number of pieces
 * @param sourceKey the key of the input of a stage without predecessors
 * @param inputs the result handles that every piece gets as input
 * @param resultBytes the approximate result size of one piece, in bytes
 * @param goalLeftMs the time left for the stage to end so that the request meets its goal, in milliseconds
 * @param leftMs the time left until the results are useless, in milliseconds
 * @param priority the request's priority, zero for the most urgent
 * @param zone the preferred availability zone for the results
 * @param workspace the workspace of the request, empty if it has none or comes from a gateway of an older version
 * @param route the route of the request, empty if it comes from a gateway of an older version
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
        Optional<String> zone,
        Optional<String> workspace,
        Optional<String> route) {
    /** Creates the work with a copy of the inputs. */
    public StageWork {
        inputs = List.copyOf(inputs);
    }

    /** Creates work without a workspace and a route. */
    public StageWork(
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
        this(
                requestId,
                service,
                stage,
                pieces,
                sourceKey,
                inputs,
                resultBytes,
                goalLeftMs,
                leftMs,
                priority,
                zone,
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns this work with the times that are left after a while.
     *
     * @param elapsedMs the time that has passed, in milliseconds
     * @return the work; the time until its results are useless may be negative
     */
    public StageWork after(long elapsedMs) {
        return new StageWork(
                requestId,
                service,
                stage,
                pieces,
                sourceKey,
                inputs,
                resultBytes,
                Math.max(0, goalLeftMs - elapsedMs),
                leftMs - elapsedMs,
                priority,
                zone,
                workspace,
                route);
    }
}
