package org.pimentovale.table;

import java.util.List;

/**
 * A group of endpoints that serve a stage, with the limits of each. Immutable and thread safe.
 *
 * @param name the name by which routes refer to the pool
 * @param protocol the name of the stage protocol, such as {@code service} or {@code chat}
 * @param model the model named in calls, empty for services without a model
 * @param limit the maximum number of concurrent requests to a warm endpoint, over all instances
 * @param coldLimit the maximum number of concurrent requests to a cold endpoint, over all instances
 * @param warmAfterRequests number of requests after which an endpoint counts as warm
 * @param warmAfterMs time after which an endpoint counts as warm, in milliseconds
 * @param progressTimeoutMs the maximum time without progress of a running call, in milliseconds
 * @param expectedMs the service time assumed until one has been measured, in milliseconds
 * @param checksFencing whether the endpoints reject calls with an outdated fencing token
 * @param refusalStatuses HTTP statuses with which an endpoint states that it has not executed the call
 * @param endpoints the endpoints
 */
public record Pool(
        String name,
        String protocol,
        String model,
        int limit,
        int coldLimit,
        int warmAfterRequests,
        int warmAfterMs,
        int progressTimeoutMs,
        int expectedMs,
        boolean checksFencing,
        List<Integer> refusalStatuses,
        List<Endpoint> endpoints) {}
