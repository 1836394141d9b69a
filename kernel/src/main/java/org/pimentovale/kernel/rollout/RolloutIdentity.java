package org.pimentovale.kernel.rollout;

/**
 * Identifies an order: a later order for the same service differs in at least one component.
 *
 * @param createRevision the store's revision at which the order's object was created
 * @param to the build that is to serve all requests
 * @param durationMs the time from the order to its deadline, in milliseconds
 */
public record RolloutIdentity(long createRevision, String to, long durationMs) {}
