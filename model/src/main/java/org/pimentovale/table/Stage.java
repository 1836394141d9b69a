package org.pimentovale.table;

/**
 * One stage of a route. Immutable and thread safe.
 *
 * @param name the stage's name, unique within its route
 * @param pool the pool that serves it
 * @param idempotent whether the call may be repeated
 */
public record Stage(String name, String pool, boolean idempotent) {}
