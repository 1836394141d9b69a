package org.pimentovale.bench;

import java.util.List;
import java.util.Map;

/**
 * What a replay measured. Immutable and thread safe.
 *
 * @param label the run's name
 * @param workload the workload's name
 * @param seed the seed of arrivals and kinds
 * @param offeredPerSecond requests sent a second
 * @param capacityPerSecond requests a second that the endpoints can finish
 * @param sent requests sent
 * @param attained requests answered whole within their deadlines
 * @param attainment their share
 * @param usefulShareOfCapacity attained requests through the engines that ended between
 *     the tenth second and the end of sending, against what the engines can finish in that time
 * @param latencyMs percentiles of the answered requests by kind, in milliseconds
 * @param failures the other requests by code
 * @param sentBySecond requests sent in each second
 * @param attainedBySecond of those, the attained ones
 * @param endpointRecords what the endpoints recorded of themselves
 */
record ReplayResult(
        String label,
        String workload,
        long seed,
        double offeredPerSecond,
        double capacityPerSecond,
        int sent,
        int attained,
        double attainment,
        double usefulShareOfCapacity,
        Map<String, Map<String, Long>> latencyMs,
        Map<String, Integer> failures,
        List<Integer> sentBySecond,
        List<Integer> attainedBySecond,
        Map<String, Double> endpointRecords) {}
