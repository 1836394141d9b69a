package org.pimentovale.kernel.batch;

/**
 * A piece of a ticket that was taken out of the queue for a call.
 *
 * @param ticket the ticket that the piece belongs to
 * @param number the index of the piece within its ticket, from zero
 */
public record TicketPiece(StageTicket ticket, int number) {}
