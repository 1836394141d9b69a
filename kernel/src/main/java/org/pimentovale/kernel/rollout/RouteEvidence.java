package org.pimentovale.kernel.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What one gateway has seen of one route since an order: cumulative counts by side and by endpoint of the new build,
 * and the durations of the old builds within the last five seconds. Not thread safe.
 */
public final class RouteEvidence {
    private static final long WINDOW_MS = 5_000;
    private static final int MAX_DURATIONS = 1_024;

    private record OldResponse(long atMs, AnswerSample sample) {}

    private final Map<String, SideCounts> endpoints = new HashMap<>();
    private final Deque<OldResponse> recent = new ArrayDeque<>();
    private SideCounts old = SideCounts.NONE;
    private DurationLimits limits = DurationLimits.NONE;

    /**
     * Replaces the limits of durations by those that the decider derived from all gateways.
     *
     * @param current the limits
     */
    public void setLimits(DurationLimits current) {
        limits = current;
    }

    /**
     * Records a request that was sent.
     *
     * @param toNewBuild whether it was sent to the new build
     * @param endpoint the endpoint's identifier
     */
    public void recordSend(boolean toNewBuild, String endpoint) {
        if (toNewBuild) {
            endpoints.merge(endpoint, SideCounts.NONE.withSend(), SideCounts::plus);
        } else {
            old = old.withSend();
        }
    }

    /**
     * Records a response.
     *
     * @param sample the response
     * @param nowMs the current time in milliseconds
     * @return whether it is bad
     */
    public boolean recordResponse(AnswerSample sample, long nowMs) {
        boolean bad = sample.isBad(limits);
        if (sample.ofNewBuild()) {
            endpoints.merge(sample.endpoint(), SideCounts.NONE.withResponse(bad), SideCounts::plus);
        } else {
            old = old.withResponse(bad);
            if (!sample.failed() && sample.judgesDuration()) {
                recordDuration(new OldResponse(nowMs, sample));
            }
        }
        return bad;
    }

    private void recordDuration(OldResponse response) {
        recent.addLast(response);
        if (recent.size() > MAX_DURATIONS) {
            recent.removeFirst();
        }
    }

    /**
     * Returns the responses of the old builds.
     *
     * @return the cumulative counts
     */
    public SideCounts old() {
        return old;
    }

    /**
     * Returns the responses of the new build.
     *
     * @return the cumulative counts by endpoint
     */
    public Map<String, SideCounts> endpoints() {
        return Map.copyOf(endpoints);
    }

    /**
     * Returns the recent durations of the old builds.
     *
     * @param nowMs the current time in milliseconds
     * @return the times to the end of responses, or to the first event of streams
     */
    public DurationHistogram durations(long nowMs) {
        DurationHistogram histogram = new DurationHistogram();
        removeOld(nowMs);
        recent.forEach(response -> histogram.record(response.sample().durationMs()));
        return histogram;
    }

    /**
     * Returns the recent mean pauses between events of the old builds' streams.
     *
     * @param nowMs the current time in milliseconds
     * @return the pauses
     */
    public DurationHistogram pauses(long nowMs) {
        DurationHistogram histogram = new DurationHistogram();
        removeOld(nowMs);
        recent.forEach(response -> response.sample().pauseMs().ifPresent(histogram::record));
        return histogram;
    }

    private void removeOld(long nowMs) {
        while (!recent.isEmpty() && recent.peekFirst().atMs() <= nowMs - WINDOW_MS) {
            recent.removeFirst();
        }
    }
}
