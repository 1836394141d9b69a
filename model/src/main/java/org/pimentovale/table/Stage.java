package org.pimentovale.table;

/**
 * One stage of a route, the pipeline that a request passes through. Immutable and thread safe.
 *
 * @param name the stage's name, unique within its route
 * @param pool the name of the pool that serves the stage
 * @param idempotent whether a call may be retried after it may have been executed
 */
public record Stage(String name, String pool, boolean idempotent) {}
