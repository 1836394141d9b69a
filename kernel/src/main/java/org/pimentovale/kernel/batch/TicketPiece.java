package org.pimentovale.kernel.batch;

/**
 * A piece that was taken out of the queue for a call.
 *
 * @param ticket the ticket it belongs to
 * @param number its number
 */
public record TicketPiece(StageTicket ticket, int number) {}
