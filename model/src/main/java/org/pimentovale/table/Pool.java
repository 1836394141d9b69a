package org.pimentovale.table;

import java.util.List;

/**
 * The endpoints that serve a stage, and what each of them bears. Immutable and thread safe.
 *
 * @param name the name by which routes refer to the pool
 * @param protocol the name of the stage protocol, such as {@code service} or {@code chat}
 * @param model the model to ask for, empty for plain services
 * @param limit requests that a warm endpoint bears at once, over all instances
 * @param coldLimit requests that a cold endpoint bears at once, over all instances
 * @param warmAfterRequests requests after which an endpoint counts as warm
 * @param warmAfterMs milliseconds after which an endpoint counts as warm
 * @param progressTimeoutMs longest silence of a running call in milliseconds
 * @param expectedMs service time assumed before any was measured, in milliseconds
 * @param checksFencing whether endpoints refuse an order with an old fencing number
 * @param refusalStatuses HTTP statuses by which an endpoint declares that it has not run the call
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
