package org.pimentovale.bench;

import java.util.List;
import java.util.Map;

/**
 * The result of a replay, written as JSON. Immutable and thread safe.
 *
 * @param label the name of the run
 * @param workload the name of the workload
 * @param seed the seed of the arrival times and the kinds of request
 * @param offeredPerSecond target rate in requests per second
 * @param capacityPerSecond requests per second that the endpoints can complete
 * @param sent requests sent
 * @param attained requests with a complete, successful response within their deadline
 * @param attainment attained requests as a share of those sent
 * @param usefulShareOfCapacity attained requests through the engines that ended between
 *     the tenth second and the end of sending, as a share of what the engines can complete in that time
 * @param latencyMs latency percentiles of the successful requests by kind, late ones included, in milliseconds
 * @param failures the number of requests that were not attained, by cause
 * @param sentBySecond requests sent in each second
 * @param attainedBySecond attained requests by the second in which they were sent
 * @param endpointRecords the statistics of the endpoints, summed up by field
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
