package org.pimentovale.kernel.schedule;

import org.pimentovale.table.Endpoint;

/**
 * The right to send one attempt to an endpoint; it is given back by a release. Immutable and thread safe.
 *
 * @param attempt the attempt
 * @param endpoint where it may be sent
 * @param cold whether the endpoint was cold
 * @param load the endpoint's believed load at the time of the grant, as a share of its limit
 * @param grantedAtMs the time of the grant
 */
public record Grant(StageAttempt attempt, Endpoint endpoint, boolean cold, double load, long grantedAtMs) {}
