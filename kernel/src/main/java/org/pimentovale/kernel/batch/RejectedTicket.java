package org.pimentovale.kernel.batch;

/**
 * A ticket that was removed from the queue because it would not finish in time. Not thread safe, like its ticket.
 *
 * @param ticket the removed ticket, whose pieces are not finished
 * @param expectedWaitMs the estimated queueing time of the ticket, in milliseconds
 */
public record RejectedTicket(StageTicket ticket, long expectedWaitMs) {}
