package org.pimentovale.kernel.rollout;

/**
 * The bounds that a roll-out keeps while it is not known whether the new build is good.
 *
 * @param exposureShare the share of a service's requests between an order and its deadline that a bad build may get
 * @param exposureSlack the number of requests that a bad build may get beyond the share
 * @param rollbackMs the time within which a bad build gets no more requests, in milliseconds
 */
public record RolloutSettings(double exposureShare, double exposureSlack, long rollbackMs) {}
