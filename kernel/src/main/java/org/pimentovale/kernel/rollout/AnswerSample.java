package org.pimentovale.kernel.rollout;

import java.util.OptionalDouble;

/**
 * A response that counts as evidence.
 *
 * @param ofNewBuild whether an endpoint of the new build gave it
 * @param endpoint the endpoint's identifier
 * @param failed whether the response failed
 * @param durationMs the time to the end of the response, or to the first event of a stream, in milliseconds
 * @param pauseMs the mean pause between the events of a stream, in milliseconds, empty if it had less than two
 * @param judgesDuration whether a long duration makes the response bad; false while the endpoint warms up
 */
public record AnswerSample(
        boolean ofNewBuild,
        String endpoint,
        boolean failed,
        double durationMs,
        OptionalDouble pauseMs,
        boolean judgesDuration) {
    /** Tells whether the response is bad. */
    boolean isBad(DurationLimits limits) {
        boolean slow = judgesDuration && (durationMs > limits.durationMs() || pauseMs.orElse(0) > limits.pauseMs());
        return failed || slow;
    }
}
