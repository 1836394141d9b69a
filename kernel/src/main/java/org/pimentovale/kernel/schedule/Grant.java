package org.pimentovale.kernel.schedule;

import org.pimentovale.table.Endpoint;

/**
 * Permission to send one attempt to an endpoint; each grant must be released. Immutable and thread safe.
 *
 * @param attempt the attempt
 * @param endpoint the endpoint to which the attempt may be sent
 * @param cold whether the endpoint was cold at the time of the grant
 * @param load estimated load of the endpoint at the time of the grant, as a fraction of its limit
 * @param grantedAtMs the time of the grant on the monotonic clock
 */
public record Grant(StageAttempt attempt, Endpoint endpoint, boolean cold, double load, long grantedAtMs) {}
