package org.pimentovale.kernel.batch;

/**
 * A ticket whose turn would come too late. Immutable and thread safe.
 *
 * @param ticket the ticket
 * @param expectedWaitMs how long the work before it takes, in milliseconds
 */
public record RejectedTicket(StageTicket ticket, long expectedWaitMs) {}
